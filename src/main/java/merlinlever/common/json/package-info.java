/** A small reader of JSON, and a writer of JSON strings, which the program loads at its start in place of a library. */
package merlinlever.common.json;
