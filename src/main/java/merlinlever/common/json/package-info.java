/**
 * A small JSON parser, and a writer of JSON strings. The agent link, {@code serve}'s configuration and the management
 * endpoint use it in place of a library, which would slow the start down. Stateless; usable on any thread.
 */
package merlinlever.common.json;
