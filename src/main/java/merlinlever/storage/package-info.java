/** The one seam through which the program's lasting writes go: folders on disk, and a record of what passes for the fault harness. */
package merlinlever.storage;
