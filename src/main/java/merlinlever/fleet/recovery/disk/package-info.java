/**
 * The recovery file with the state that a process persists for its next incarnation. The file is read once at the
 * start, always replaced as a whole, and forced to disk before any reservation in the file is used.
 */
package merlinlever.fleet.recovery.disk;
