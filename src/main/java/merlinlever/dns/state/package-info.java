/** Zones as immutable versions, and all that is decided about their contents. No input or output. */
package merlinlever.dns.state;
