/** Parses and writes DNS messages and their TSIG signatures. Performs no I/O. */
package merlinlever.dns.wire;
