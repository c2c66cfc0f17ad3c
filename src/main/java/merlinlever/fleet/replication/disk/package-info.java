/** The files of what is replicated. */
package merlinlever.fleet.replication.disk;
