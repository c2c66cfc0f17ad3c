package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;

/**
 * The metrics polls in flight on the present connection, and what their answers prove: the agent answers in order, so all
 * commands sent before an answered poll have arrived.
 */
final class SampleTracker {

    /** Which poll was answered. */
    enum Answer {
        /** All events of the time without a connection have been read. */
        CATCH_UP,
        /** The metrics are up to date. */
        GAUGES,
        /** No such poll is in flight. */
        UNEXPECTED
    }

    private record PendingSample(String token, Duration askedAt) {}

    private Optional<PendingSample> gauges = Optional.empty();
    private Optional<PendingSample> catchUp = Optional.empty();
    private Duration confirmedUntil = Duration.ZERO;

    /** The time up to which all commands are known to have arrived. */
    Duration confirmedUntil() {
        return confirmedUntil;
    }

    /** Sets the time up to which all commands are known to have arrived. */
    void setConfirmedUntil(Duration time) {
        confirmedUntil = time;
    }

    /** Whether a poll of the metrics is in flight. */
    boolean isGaugesPending() {
        return gauges.isPresent();
    }

    /** Forgets the poll of the metrics: its connection is replaced. */
    void dropGauges() {
        gauges = Optional.empty();
    }

    /** A poll of the metrics is being sent. */
    void expectGauges(String token, Duration now) {
        gauges = Optional.of(new PendingSample(token, now));
    }

    /** A poll is being sent whose answer shows that all missed events have been read. */
    void expectCatchUp(String token, Duration now) {
        catchUp = Optional.of(new PendingSample(token, now));
    }

    /** Matches an answer to the poll that it ends. */
    Answer answered(String token) {
        if (isFor(catchUp, token)) {
            confirmedUntil = catchUp.get().askedAt();
            catchUp = Optional.empty();
            return Answer.CATCH_UP;
        }
        if (isFor(gauges, token)) {
            confirmedUntil = gauges.get().askedAt();
            gauges = Optional.empty();
            return Answer.GAUGES;
        }
        return Answer.UNEXPECTED;
    }

    private static boolean isFor(Optional<PendingSample> pending, String token) {
        return pending.isPresent() && pending.get().token().equals(token);
    }
}
