/** The files of what is replicated. */
package merlinlever.replication.disk;
