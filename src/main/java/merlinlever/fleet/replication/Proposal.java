package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A register that this leader writes now: first it asks all voters for what they have accepted, then it proposes a value that is safe. All
 * answers count for the present term only.
 */
final class Proposal {

    /** An unanswered question is sent again after this time. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(300);
    /**
     * An answer counts for so long after its question, by the leader's clock. A voter that lost its disk waits longer than this before it
     * recovers ({@link VoterRecovery}), so no answer of its earlier process counts any more by then.
     */
    private static final Duration ANSWER_VALIDITY = Duration.ofSeconds(5);

    private final String register;
    private final byte[] ownValue;
    private long term = -1;
    /** What is proposed, never changed within a term; nothing while the voters are still asked. */
    private Optional<byte[]> value = Optional.empty();

    private final Map<String, RegisterState> reported = new TreeMap<>();
    /** Voters that have answered, with the times of the questions in ms of the leader's clock. */
    private final Map<String, Long> promisedAtMs = new TreeMap<>();

    private final Map<String, Long> acceptedAtMs = new TreeMap<>();
    private Duration nextSend = Duration.ZERO;

    Proposal(String register, byte[] ownValue) {
        this.register = register;
        this.ownValue = ownValue;
    }

    /** Whether the voters are still asked for what they have accepted. */
    boolean isPreparing() {
        return value.isEmpty();
    }

    long term() {
        return term;
    }

    /** The proposed value; only once {@link #isPreparing} is false. */
    byte[] value() {
        return value.orElseThrow();
    }

    /** The messages that are due to voters that have not answered; starts over if the leader has a new term. */
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
        byte[] question = question(now).encode();
        List<OutgoingMessage> messages = new ArrayList<>();
        for (String voter : voters) {
            if (!answered.containsKey(voter)) {
                messages.add(new OutgoingMessage(voter, question));
            }
        }
        return messages;
    }

    private RegisterMessage question(Duration now) {
        return value.map(proposed -> RegisterMessage.accept(term, now, register, proposed))
                .orElseGet(() -> RegisterMessage.prepare(term, now, register));
    }

    private void restart(Duration now, long leaderTerm) {
        term = leaderTerm;
        value = Optional.empty();
        reported.clear();
        promisedAtMs.clear();
        acceptedAtMs.clear();
        nextSend = now;
    }

    /** Records a voter's promise, with what it has accepted. */
    void addPromise(String voter, long askedAtMs, List<RegisterState> accepted) {
        promisedAtMs.put(voter, askedAtMs);
        accepted.forEach(state -> reported.put(voter, state));
    }

    /** Fixes the value if a majority has promised; returns whether it did. */
    boolean chooseValueIfPromised(Duration now, int voterCount) {
        if (!hasMajority(now, promisedAtMs, voterCount)) {
            return false;
        }
        value = Optional.of(PaxosAcceptor.safeValue(reported.values(), ownValue));
        nextSend = now;
        return true;
    }

    /** Records that a voter accepted the value; returns whether a majority has. */
    boolean addAcceptance(Duration now, String voter, long askedAtMs, int voterCount) {
        acceptedAtMs.put(voter, askedAtMs);
        return hasMajority(now, acceptedAtMs, voterCount);
    }

    private static boolean hasMajority(Duration now, Map<String, Long> answers, int voterCount) {
        discardExpired(now, answers);
        return answers.size() > voterCount / 2;
    }

    private static void discardExpired(Duration now, Map<String, Long> answers) {
        answers.values().removeIf(askedAtMs -> now.toMillis() - askedAtMs > ANSWER_VALIDITY.toMillis());
    }
}
