package merlinlever.recovery;

import java.util.List;

/**
 * What a process leaves on disk for its next life. Times are of the Unix clock in milliseconds.
 *
 * @param owner whose it is: the name and the address told to the others
 * @param reservedIncarnation up to this one any may have been told to others
 * @param highestTerm the highest that was promised to a leader, a fencing number; it only goes up
 * @param nonIdempotentUntilUnixMs up to then work that must not run twice may have been begun
 * @param writtenAtUnixMs when this was written
 * @param learnedCapacity operations that the hold could take, learned in service; 0 where nothing was learned
 * @param peerAddresses where others were known to listen
 */
public record PersistedState(
        String owner,
        long reservedIncarnation,
        long highestTerm,
        long nonIdempotentUntilUnixMs,
        long writtenAtUnixMs,
        double learnedCapacity,
        List<String> peerAddresses) {

    /** Of the others so many are remembered; membership brings the rest. */
    public static final int MAX_PEER_ADDRESSES = 64;

    public PersistedState {
        peerAddresses = List.copyOf(peerAddresses.subList(0, Math.min(MAX_PEER_ADDRESSES, peerAddresses.size())));
    }
}
