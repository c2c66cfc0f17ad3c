package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;

/**
 * Tracks the metrics polls in flight on the active connection. The agent processes commands in order, so the answer to
 * a poll confirms that all commands sent before the poll have arrived.
 */
final class MetricsPollTracker {

    /** The kind of poll that an answer belongs to. */
    enum Answer {
        /** The catch-up poll: all events logged while the agent was disconnected have been read. */
        CATCH_UP,
        /** The regular metrics poll. */
        METRICS,
        /** No poll with this token is in flight. */
        UNEXPECTED
    }

    private record PendingPoll(String token, Duration sentAt) {}

    private Optional<PendingPoll> metricsPoll = Optional.empty();
    private Optional<PendingPoll> catchUpPoll = Optional.empty();
    private Duration confirmedUntil = Duration.ZERO;

    /** Returns the time up to which all sent commands are confirmed to have arrived. */
    Duration confirmedUntil() {
        return confirmedUntil;
    }

    /** Sets the time up to which all sent commands are confirmed to have arrived. */
    void setConfirmedUntil(Duration time) {
        confirmedUntil = time;
    }

    /** Returns whether a regular metrics poll is in flight. */
    boolean isMetricsPollPending() {
        return metricsPoll.isPresent();
    }

    /** Discards the regular metrics poll because its connection is being replaced. */
    void discardMetricsPoll() {
        metricsPoll = Optional.empty();
    }

    /** Records that a regular metrics poll is being sent. */
    void recordMetricsPoll(String token, Duration now) {
        metricsPoll = Optional.of(new PendingPoll(token, now));
    }

    /** Records that a catch-up poll is being sent; its answer shows that all missed events have been read. */
    void recordCatchUpPoll(String token, Duration now) {
        catchUpPoll = Optional.of(new PendingPoll(token, now));
    }

    /** Completes the poll with the token and returns the kind of the poll. */
    Answer matchAnswer(String token) {
        if (hasToken(catchUpPoll, token)) {
            confirmedUntil = catchUpPoll.get().sentAt();
            catchUpPoll = Optional.empty();
            return Answer.CATCH_UP;
        }
        if (hasToken(metricsPoll, token)) {
            confirmedUntil = metricsPoll.get().sentAt();
            metricsPoll = Optional.empty();
            return Answer.METRICS;
        }
        return Answer.UNEXPECTED;
    }

    private static boolean hasToken(Optional<PendingPoll> poll, String token) {
        return poll.isPresent() && poll.get().token().equals(token);
    }
}
