/**
 * An authoritative DNS server with dynamic updates and zone transfers, a client that brings a zone to a wanted content,
 * and a follower that keeps a name on the instances that are alive. The commands in {@code cli.dns} start them;
 * {@code serve} loads none of it.
 */
package merlinlever.dns;
