/**
 * Client of the directory, from which edge nodes learn the addresses of servers. It owns one datagram socket and sends
 * heartbeats; {@code cli} assembles it. Everything runs on the event loop's thread.
 */
package merlinlever.backend.directory;
