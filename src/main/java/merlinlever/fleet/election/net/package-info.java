/** Leader election on the event loop and membership's datagrams. */
package merlinlever.fleet.election.net;
