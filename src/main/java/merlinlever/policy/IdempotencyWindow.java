package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;

/**
 * Keeps safety rule 2 across restarts: a non-idempotent request starts only if no earlier incarnation can
 * have run it, and only while the next incarnation can tell that this one may have run it.
 */
final class IdempotencyWindow {
    private Duration arrivedFrom = Duration.ZERO;
    /** Null without a limit. */
    private Duration endsAt;

    /** See {@link OverloadController#permitNonIdempotentStarts}. */
    void permitStarts(Duration requestsArrivedFrom, Duration permittedUntil) {
        arrivedFrom = requestsArrivedFrom;
        endsAt = permittedUntil;
    }

    /** Returns the time of arrival from which no earlier incarnation can have run a request. */
    Duration arrivedFrom() {
        return arrivedFrom;
    }

    boolean forbidsAdmission(Request request, Duration now) {
        boolean mayHaveRun = !isReached(request.arrivedAt(), arrivedFrom);
        return !request.priorityClass().isIdempotent() && (mayHaveRun || forbidsStart(request, now));
    }

    boolean forbidsStart(Request request, Duration now) {
        return !request.priorityClass().isIdempotent() && endsAt != null && isReached(now, endsAt);
    }
}
