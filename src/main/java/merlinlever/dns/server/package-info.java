/**
 * The authoritative DNS server: reads messages, lets the overload controller decide what is admitted, and responds. The
 * sockets are in {@link merlinlever.dns.server.DnsServer} and {@link merlinlever.dns.server.DnsConnection}; all other
 * classes have no input or output. Everything runs on the event loop.
 */
package merlinlever.dns.server;
