/**
 * An authoritative DNS server with dynamic updates and zone transfers, a client that updates a zone to a desired state,
 * and a follower that points a name to the live instances. The commands in {@code cli.dns} start these programs; the
 * {@code serve} command loads no class of this package.
 */
package merlinlever.dns;
