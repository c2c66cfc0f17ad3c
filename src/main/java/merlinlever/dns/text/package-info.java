/** Zone files (RFC 1035 section 5): read whole or not at all, and written. */
package merlinlever.dns.text;
