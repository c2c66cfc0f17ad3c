/**
 * What drives one decision module, without any input or output: handles, the alarm, the life of an operation, kept
 * results. Both adapters, the bench's wire and the sockets, stand on it.
 */
package merlinlever.core;
