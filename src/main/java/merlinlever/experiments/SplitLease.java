package merlinlever.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import merlinlever.election.Leadership;
import merlinlever.replication.SharedStore;
import merlinlever.replication.VersionedEntry;

/**
 * For how long a backend may split. It asks by a word of its own; whoever leads and has not ended the trial answers with the versions
 * of the questions that it has heard, and an answer is good for one lease from its question, on the asker's own steady clock (C. Gray,
 * D. Cheriton, Leases, 1989). A leader that has an end to write answers no more; so one that was away, and asks anew, splits again only
 * by an answer that was given before anybody had ended the trial, or not at all.
 */
final class SplitLease {

    /** Questions that may still be answered, and backends that are answered, at the most. */
    private static final int MOST = 64;

    private static final int MOST_ANSWERED = 250;
    private static final String NONE = "";

    private record PendingLeaseRequest(long incarnation, long sequence, Duration at) {}

    private final SharedStore common;
    private final String self;
    private final Experiment trial;
    private final ArrayDeque<PendingLeaseRequest> asked = new ArrayDeque<>();
    private Duration until = Duration.ZERO;
    private Duration nextAsk = Duration.ZERO;
    private Duration nextAnswer = Duration.ZERO;
    private long term;
    private String answered = NONE;

    SplitLease(SharedStore common, String self, Experiment trial) {
        this.common = common;
        this.self = self;
        this.trial = trial;
    }

    private String questions() {
        return "trial-q/" + trial.name();
    }

    private String answers() {
        return "trial-go/" + trial.name();
    }

    private Duration pause() {
        return trial.lease().dividedBy(8);
    }

    boolean holds(Duration now) {
        return now.compareTo(until) < 0;
    }

    Duration until() {
        return until;
    }

    void ask(Duration now) {
        if (now.compareTo(nextAsk) < 0) {
            return;
        }
        nextAsk = now.plus(pause());
        if (common.put(now, questions(), trial.key().getBytes(StandardCharsets.US_ASCII))) {
            common.of(self, questions())
                    .ifPresent(word -> asked.add(new PendingLeaseRequest(word.incarnation(), word.sequence(), now)));
        }
        while (asked.size() > MOST) {
            asked.poll();
        }
    }

    /** As the leader: whose questions are heard, of this very trial. */
    void answer(Duration now, long ofTerm) {
        if (now.compareTo(nextAnswer) < 0) {
            return;
        }
        nextAnswer = now.plus(pause());
        StringBuilder text = new StringBuilder(trial.key()).append(' ').append(ofTerm);
        int n = 0;
        for (VersionedEntry word : common.all(questions())) {
            if (n++ < MOST_ANSWERED && new String(word.value(), StandardCharsets.US_ASCII).equals(trial.key())) {
                text.append(' ')
                        .append(word.owner())
                        .append(' ')
                        .append(word.incarnation())
                        .append(' ')
                        .append(word.sequence());
            }
        }
        common.put(now, answers(), text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    /** Takes what whoever leads has answered. */
    void hear(Leadership.Leader leader) {
        Optional<VersionedEntry> word = leader == null ? Optional.empty() : common.of(leader.name(), answers());
        if (word.isEmpty()) {
            return;
        }
        String text = new String(word.get().value(), StandardCharsets.US_ASCII);
        if (text.equals(answered)) {
            return;
        }
        answered = text;
        String[] part = text.split(" ");
        try {
            if (!part[0].equals(trial.key()) || Long.parseLong(part[1]) < Math.max(term, leader.term())) {
                return;
            }
            term = Long.parseLong(part[1]);
            for (int i = 2; i + 2 < part.length; i += 3) {
                if (part[i].equals(self)) {
                    heard(Long.parseLong(part[i + 1]), Long.parseLong(part[i + 2]));
                }
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            // Not an answer.
        }
    }

    private void heard(long incarnation, long sequence) {
        for (PendingLeaseRequest question : asked) {
            if (question.incarnation == incarnation
                    && question.sequence == sequence
                    && question.at.plus(trial.lease()).compareTo(until) > 0) {
                until = question.at.plus(trial.lease());
            }
        }
    }
}
