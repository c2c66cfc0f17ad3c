/**
 * A small JSON parser, and a function to quote JSON strings. The agent link, the configuration of {@code serve} and the
 * management endpoint use this package in place of a library, which would slow down the start. Stateless and
 * thread-safe.
 */
package merlinlever.common.json;
