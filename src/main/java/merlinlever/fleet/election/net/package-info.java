/** Runs leader election on the event loop and exchanges its messages in membership datagrams. */
package merlinlever.fleet.election.net;
