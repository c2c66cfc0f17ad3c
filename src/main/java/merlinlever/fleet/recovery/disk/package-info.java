/**
 * The file with the state that a process keeps for its next incarnation: read once at the start, replaced whole, and forced
 * to the disk before anything that it reserves is used.
 */
package merlinlever.fleet.recovery.disk;
