/**
 * Durable storage: a directory of state files, a writer thread that keeps disk latency off the event loop, and a
 * recording of all file operations, from which the fault tests reconstruct the states after a power loss. All durable
 * writes of the program use {@link merlinlever.common.storage.StateDirectory}. Each class documents the threads on
 * which it is used.
 */
package merlinlever.common.storage;
