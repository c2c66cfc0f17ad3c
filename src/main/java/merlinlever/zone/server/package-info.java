/**
 * The front for zones: reads messages, has the decision module say what is taken, run and turned away, and answers. The
 * zones served are {@link merlinlever.zone.server.Served}, the life of a message {@link merlinlever.zone.server.Desk}, both
 * without input or output; the sockets are round them.
 */
package merlinlever.zone.server;
