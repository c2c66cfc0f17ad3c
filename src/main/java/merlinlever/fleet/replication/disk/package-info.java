/** Files of the replicated state. */
package merlinlever.fleet.replication.disk;
