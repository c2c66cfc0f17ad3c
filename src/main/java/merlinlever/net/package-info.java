/** The one thread with its timer and clock, connections with their buffers, and the ways in which they end. */
package merlinlever.net;
