/** Parses and writes DNS messages and their TSIG signatures. No input or output. */
package merlinlever.dns.wire;
