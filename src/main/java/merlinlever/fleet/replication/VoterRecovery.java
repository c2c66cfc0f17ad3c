package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides whether this voter may vote. A voter that starts without its state file could help to choose a second value.
 * The voter therefore waits until it has received all registers of enough other voters to cover every promise and
 * acceptance that it may have lost.
 */
final class VoterRecovery {

    /**
     * Delay before the other voters are asked, longer than the validity of an answer ({@link Proposal}) by any voter's
     * clock.
     */
    private static final Duration QUERY_DELAY = Duration.ofSeconds(10);

    private final Duration queryFrom;
    private boolean voting;
    /** Voters that have sent all their registers, with whether they vote themselves. */
    private final Map<String, Boolean> completedVoters = new TreeMap<>();

    /** @param voting whether the state file was found or there are no other voters */
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

    /** Whether an answer to a request of this time counts. */
    boolean acceptsAnswerTo(long requestedAtMs) {
        return !voting && requestedAtMs >= queryFrom.toMillis();
    }

    /** Records a page of a voter's registers; returns whether this voter may vote from now on. */
    boolean pageReceived(String voter, RegisterMessage page, int voterCount) {
        if (page.isLastPage()) {
            completedVoters.put(voter, page.isSenderVoting());
        }
        return tryRecover(voterCount);
    }

    /**
     * Allows voting if every majority contains a voting voter that has answered, or if all other voters have answered,
     * as at the first start of a fleet.
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
