/** Names, types and data of DNS records. Used by all other packages of {@code dns}; performs no I/O. */
package merlinlever.dns.record;
