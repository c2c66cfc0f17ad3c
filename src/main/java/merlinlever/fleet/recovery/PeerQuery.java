package merlinlever.fleet.recovery;

/**
 * A query to be sent to a peer.
 *
 * @param peer the name of the peer
 * @param correlationId identifies the query; the report of the peer has the same correlation id
 */
public record PeerQuery(String peer, long correlationId) {}
