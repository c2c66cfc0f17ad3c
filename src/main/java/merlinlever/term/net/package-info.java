/** Who leads, over membership's datagrams. */
package merlinlever.term.net;
