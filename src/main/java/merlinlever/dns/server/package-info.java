/**
 * The front for zones: reads messages, has the decision module say what is taken, run and turned away, and answers. The
 * zones served are {@link merlinlever.dns.server.Served}, the life of a message {@link merlinlever.dns.server.Desk}, both
 * without input or output; the sockets are round them.
 */
package merlinlever.dns.server;
