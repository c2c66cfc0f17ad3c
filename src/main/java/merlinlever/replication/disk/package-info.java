/** What is shared, as far as it has to outlast a process, on disk. */
package merlinlever.replication.disk;
