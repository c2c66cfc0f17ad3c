/** DNS messages and their signatures, read and written. No input or output. */
package merlinlever.dns.wire;
