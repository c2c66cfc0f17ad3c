package merlinlever.fleet.membership;

/**
 * A message to send in a datagram.
 *
 * @param address gossip address of the recipient
 */
public record OutboundDatagram(String address, MembershipMessage message) {}
