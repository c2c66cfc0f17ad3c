/** Names, types and data of DNS records as octets, on which all other packages of {@code dns} stand. No input or output. */
package merlinlever.dns.record;
