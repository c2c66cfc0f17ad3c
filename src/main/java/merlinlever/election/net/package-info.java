/** Who leads, over membership's datagrams. */
package merlinlever.election.net;
