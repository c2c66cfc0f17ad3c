package merlinlever.recovery;

import java.util.List;

/**
 * What a process leaves on disk for its next life. Times are of the Unix clock in milliseconds.
 *
 * @param owner whose it is: the name and the address told to the others
 * @param incarnations up to this one any may have been told to others
 * @param term the highest that was promised to a leader, a fencing number; it only goes up
 * @param keyedUntil up to then work that must not run twice may have been begun
 * @param wroteAt when this was written
 * @param capacity operations that the hold could take, learned in service; 0 where nothing was learned
 * @param peers where others were known to listen
 */
public record PersistedState(
        String owner,
        long incarnations,
        long term,
        long keyedUntil,
        long wroteAt,
        double capacity,
        List<String> peers) {

    /** Of the others so many are remembered; membership brings the rest. */
    public static final int MOST_PEERS = 64;

    public PersistedState {
        peers = List.copyOf(peers.subList(0, Math.min(MOST_PEERS, peers.size())));
    }
}
