/** A small logger: one line with time, level and figures, never one an operation, and bounded in volume. */
package merlinlever.log;
