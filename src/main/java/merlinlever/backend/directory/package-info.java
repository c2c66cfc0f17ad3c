/** Client of the directory, from which edge nodes learn which servers there are. */
package merlinlever.backend.directory;
