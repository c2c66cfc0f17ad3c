/** What is shared, on the loop and membership's datagrams. */
package merlinlever.replication.net;
