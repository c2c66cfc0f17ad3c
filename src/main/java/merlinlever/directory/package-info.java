/** The directory, through which edge nodes learn of this server. */
package merlinlever.directory;
