/**
 * The event loop with its timers and clock, connections and datagram sockets on it, and the signals of the process. One
 * thread runs the loop; everything here is used on it unless said otherwise.
 */
package merlinlever.common.net;
