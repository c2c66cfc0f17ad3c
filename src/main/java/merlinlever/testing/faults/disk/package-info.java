/** Computes the states of a directory after a power loss from recorded file operations, and restores a state. */
package merlinlever.testing.faults.disk;
