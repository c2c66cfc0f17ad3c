package merlinlever.backend.agent;

import java.time.Duration;
import java.util.Optional;

/**
 * The questions for gauges that are open on the connection in use, and what their answers prove: the agent answers in
 * order, so whatever was sent before an answered question has arrived.
 */
final class SampleTracker {

    /** What an answer was for. */
    enum Answer {
        /** All events of the time without a connection have been read. */
        CATCH_UP,
        /** The gauges are up to date. */
        GAUGES,
        /** No such question is open. */
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

    /** Whether a question for the gauges is open. */
    boolean isGaugesPending() {
        return gauges.isPresent();
    }

    /** Forgets the question for the gauges: its connection is replaced. */
    void dropGauges() {
        gauges = Optional.empty();
    }

    /** A question for the gauges is being sent. */
    void expectGauges(String token, Duration now) {
        gauges = Optional.of(new PendingSample(token, now));
    }

    /** A question is being sent whose answer shows that all missed events have been read. */
    void expectCatchUp(String token, Duration now) {
        catchUp = Optional.of(new PendingSample(token, now));
    }

    /** Takes an answer and says which question it closes. */
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
