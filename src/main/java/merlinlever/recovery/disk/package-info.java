/** What a process leaves for its next life, on disk: read once, written whole, forced before it counts. */
package merlinlever.recovery.disk;
