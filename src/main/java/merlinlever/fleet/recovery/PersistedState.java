package merlinlever.fleet.recovery;

import java.util.List;

/**
 * The state that a process persists for its next incarnation. Times are milliseconds of the Unix clock, as the
 * monotonic clock is not comparable across processes.
 *
 * @param owner the process that wrote the state: its name and the address that it advertises to its peers
 * @param reservedIncarnation incarnations up to this one may have been sent to peers
 * @param highestTerm highest election term in which a promise may have been made to a leader; never decreases
 * @param nonIdempotentUntilUnixMs latest time at which non-idempotent requests may have been started
 * @param writtenAtUnixMs when this state was written
 * @param learnedCapacity learned number of requests that the admission queue can hold, 0 if no capacity was learned
 * @param peerAddresses addresses of known peers, at most {@link #MAX_PEER_ADDRESSES}
 */
public record PersistedState(
        String owner,
        long reservedIncarnation,
        long highestTerm,
        long nonIdempotentUntilUnixMs,
        long writtenAtUnixMs,
        double learnedCapacity,
        List<String> peerAddresses) {

    /**
     * Maximum number of persisted addresses; one responding peer is enough to discover the others through membership.
     */
    public static final int MAX_PEER_ADDRESSES = 64;

    /** Copies the addresses, up to {@link #MAX_PEER_ADDRESSES}. */
    public PersistedState {
        peerAddresses = List.copyOf(peerAddresses.subList(0, Math.min(MAX_PEER_ADDRESSES, peerAddresses.size())));
    }
}
