/**
 * The event loop with its timers and clock, the connections and datagram sockets that run on the loop, and the signals
 * of the process. One thread runs the loop, and the classes of this package are used on that thread unless documented
 * otherwise.
 */
package merlinlever.common.net;
