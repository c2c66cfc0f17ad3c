/** Replication on the event loop, over the membership protocol's datagrams. */
package merlinlever.fleet.replication.net;
