/** A small rate-limited logger, used in place of a library, which would slow down the start. */
package merlinlever.common.log;
