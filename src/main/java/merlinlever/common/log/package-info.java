/** A small logger, bounded in volume, which the program loads at its start in place of a library. */
package merlinlever.common.log;
