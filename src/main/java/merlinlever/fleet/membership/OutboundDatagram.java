package merlinlever.fleet.membership;

/**
 * A message to be sent.
 *
 * @param address the gossip address that it goes to
 */
public record OutboundDatagram(String address, MembershipMessage message) {}
