/**
 * Client of the directory, from which edge nodes get the addresses of servers. The package owns one datagram socket and
 * sends heartbeats; package {@code cli} creates the sender. All code runs on the event loop's thread.
 */
package merlinlever.backend.directory;
