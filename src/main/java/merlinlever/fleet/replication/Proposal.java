package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A register that this leader is writing. The leader first asks all voters for a promise and the values that they have
 * accepted, then proposes a safe value. Answers count for the current term only.
 */
final class Proposal {

    /** Interval at which an unanswered request is sent again. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(300);
    /**
     * Time for which an answer counts, from the sending of its request by the leader's clock. A voter that lost its
     * disk waits longer before it recovers ({@link VoterRecovery}), so the answers of its earlier process have expired
     * by then.
     */
    private static final Duration ANSWER_VALIDITY = Duration.ofSeconds(5);

    private final String register;
    private final byte[] ownValue;
    private long term = -1;
    /** Proposed value, fixed within a term; empty during the prepare phase. */
    private Optional<byte[]> value = Optional.empty();

    /** Values that voters have accepted before, by voter. */
    private final Map<String, RegisterState> reportedStates = new TreeMap<>();
    /** Voters that have promised, with the times of the answered requests in ms of the leader's clock. */
    private final Map<String, Long> promisedAtMs = new TreeMap<>();

    /** Voters that have accepted, with the times of the answered requests in ms of the leader's clock. */
    private final Map<String, Long> acceptedAtMs = new TreeMap<>();

    private Duration nextSend = Duration.ZERO;

    Proposal(String register, byte[] ownValue) {
        this.register = register;
        this.ownValue = ownValue;
    }

    /** Whether the proposal is in the prepare phase, in which no value is proposed yet. */
    boolean isPreparing() {
        return value.isEmpty();
    }

    long term() {
        return term;
    }

    /** Returns the proposed value; must not be called during the prepare phase. */
    byte[] value() {
        return value.orElseThrow();
    }

    /** Returns the requests that are due to voters that have not answered; starts over if the leader has a new term. */
    List<OutgoingMessage> tick(Duration now, long leaderTerm, List<String> voters) {
        if (term != leaderTerm) {
            restart(now, leaderTerm);
        }
        if (now.compareTo(nextSend) < 0) {
            return List.of();
        }
        nextSend = now.plus(RESEND_INTERVAL);
        discardExpired(now, promisedAtMs);
        discardExpired(now, acceptedAtMs);
        Map<String, Long> answered = isPreparing() ? promisedAtMs : acceptedAtMs;
        byte[] request = request(now).encode();
        List<OutgoingMessage> messages = new ArrayList<>();
        for (String voter : voters) {
            if (!answered.containsKey(voter)) {
                messages.add(new OutgoingMessage(voter, request));
            }
        }
        return messages;
    }

    private RegisterMessage request(Duration now) {
        return value.map(proposed -> RegisterMessage.accept(term, now, register, proposed))
                .orElseGet(() -> RegisterMessage.prepare(term, now, register));
    }

    private void restart(Duration now, long leaderTerm) {
        term = leaderTerm;
        value = Optional.empty();
        reportedStates.clear();
        promisedAtMs.clear();
        acceptedAtMs.clear();
        nextSend = now;
    }

    /** Records a voter's promise and the value that the voter has accepted. */
    void addPromise(String voter, long requestedAtMs, List<RegisterState> accepted) {
        promisedAtMs.put(voter, requestedAtMs);
        accepted.forEach(state -> reportedStates.put(voter, state));
    }

    /** Chooses the value to propose if a majority has promised; returns whether a majority has. */
    boolean chooseValueIfPromised(Duration now, int voterCount) {
        if (!hasMajority(now, promisedAtMs, voterCount)) {
            return false;
        }
        value = Optional.of(PaxosAcceptor.safeValue(reportedStates.values(), ownValue));
        nextSend = now;
        return true;
    }

    /** Records that a voter accepted the value; returns whether a majority has accepted the value. */
    boolean addAcceptance(Duration now, String voter, long requestedAtMs, int voterCount) {
        acceptedAtMs.put(voter, requestedAtMs);
        return hasMajority(now, acceptedAtMs, voterCount);
    }

    private static boolean hasMajority(Duration now, Map<String, Long> answers, int voterCount) {
        discardExpired(now, answers);
        return answers.size() > voterCount / 2;
    }

    private static void discardExpired(Duration now, Map<String, Long> answers) {
        answers.values().removeIf(requestedAtMs -> now.toMillis() - requestedAtMs > ANSWER_VALIDITY.toMillis());
    }
}
