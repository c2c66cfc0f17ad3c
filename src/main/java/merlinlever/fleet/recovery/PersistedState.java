package merlinlever.fleet.recovery;

import java.util.List;

/**
 * The state that a process keeps on disk for its next incarnation. Moments are milliseconds of the Unix clock, as the
 * monotonic clock does not outlast the process.
 *
 * @param owner the process that wrote it: its name and the address that it advertises to its peers
 * @param reservedIncarnation incarnations up to this one may have been sent to peers
 * @param highestTerm the highest election term that may have been promised to a leader, a fencing token; never decreases
 * @param nonIdempotentUntilUnixMs non-idempotent requests may have been started up to this moment
 * @param writtenAtUnixMs when this state was written
 * @param learnedCapacity requests that the admission queue could hold, learned in service; 0 if nothing was learned
 * @param peerAddresses where peers were known to listen, {@link #MAX_PEER_ADDRESSES} at most
 */
public record PersistedState(
        String owner,
        long reservedIncarnation,
        long highestTerm,
        long nonIdempotentUntilUnixMs,
        long writtenAtUnixMs,
        double learnedCapacity,
        List<String> peerAddresses) {

    /** Further addresses are dropped: one peer that answers is enough to learn of the others from membership. */
    public static final int MAX_PEER_ADDRESSES = 64;

    /** Copies the addresses, up to {@link #MAX_PEER_ADDRESSES}. */
    public PersistedState {
        peerAddresses = List.copyOf(peerAddresses.subList(0, Math.min(MAX_PEER_ADDRESSES, peerAddresses.size())));
    }
}
