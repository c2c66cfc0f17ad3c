/**
 * Durable storage: a directory of state files, a writer thread that keeps disk latency off the event loop, and a recording of all
 * file operations, from which the fault tests reconstruct the states after a power loss. All durable writes of the program go
 * through {@link merlinlever.common.storage.StateDirectory}. Each class states its threads.
 */
package merlinlever.common.storage;
