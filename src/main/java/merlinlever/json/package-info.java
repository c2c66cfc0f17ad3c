/** A small reader and writer of JSON. */
package merlinlever.json;
