package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whether this voter may vote. One that starts without its state file could help to write a second value, so it votes only when so many
 * other voters have told it everything they hold that nothing it may have promised or accepted can be missing.
 */
final class VoterRecovery {

    /** Longer than any answer of this voter's earlier process counts, by any clock ({@link Proposal}). */
    private static final Duration QUERY_DELAY = Duration.ofSeconds(10);

    private final Duration queryFrom;
    private boolean voting;
    /** Voters that have told everything, and whether they vote themselves. */
    private final Map<String, Boolean> completedVoters = new TreeMap<>();

    /** @param voting whether the state file was found, or there are no other voters */
    VoterRecovery(Duration now, boolean voting) {
        this.voting = voting;
        queryFrom = now.plus(QUERY_DELAY);
    }

    boolean isVoting() {
        return voting;
    }

    /** Whether the other voters should be asked now. */
    boolean isQueryDue(Duration now) {
        return !voting && now.compareTo(queryFrom) >= 0;
    }

    /** Whether an answer to a question of that time counts. */
    boolean isWaitingFor(long askedAtMs) {
        return !voting && askedAtMs >= queryFrom.toMillis();
    }

    /** A voter has sent a page of its registers; returns whether this voter may vote from now on. */
    boolean pageReceived(String voter, RegisterMessage page, int voterCount) {
        if (page.isLastPage()) {
            completedVoters.put(voter, page.isSenderVoting());
        }
        return tryRecover(voterCount);
    }

    /**
     * Either one of the voting ones was in each majority that this voter was in; or all others have answered, as at the first start of a
     * fleet.
     */
    private boolean tryRecover(int voterCount) {
        int majority = voterCount / 2 + 1;
        voting = votingAnswers() > voterCount - majority || completedVoters.size() == voterCount - 1;
        return voting;
    }

    long answers() {
        return completedVoters.size();
    }

    long votingAnswers() {
        return completedVoters.values().stream()
                .filter(voterIsVoting -> voterIsVoting)
                .count();
    }
}
