/**
 * The authoritative DNS server. The overload controller decides which messages are admitted. The
 * sockets are in {@link merlinlever.dns.server.DnsServer} and {@link merlinlever.dns.server.DnsConnection}; all other
 * classes perform no I/O. Everything runs on the event loop.
 */
package merlinlever.dns.server;
