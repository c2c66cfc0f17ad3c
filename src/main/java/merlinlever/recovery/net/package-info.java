/** The return of a process on the loop: membership, its disk, and what it tells of how far it has come. */
package merlinlever.recovery.net;
