/** Names, types and data of DNS records, as octets; what everything else about zones stands on. No input or output. */
package merlinlever.dns.record;
