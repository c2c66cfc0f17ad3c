package merlinlever.fleet.recovery;

/**
 * A query that is to be sent to a peer now.
 *
 * @param peer the name of the peer
 * @param correlationId identifies the query; the report that answers it carries the same one
 */
public record PeerQuery(String peer, long correlationId) {}
