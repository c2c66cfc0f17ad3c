/**
 * The one seam through which the program's durable writes go: a directory of state files on disk, a writer that keeps disk latency
 * off the event loop, and a recording of all operations for the fault harness, which replays them up to simulated power losses.
 */
package merlinlever.common.storage;
