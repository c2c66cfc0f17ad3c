package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;

/**
 * Rule 2 across restarts: a request that is not idempotent starts only if no earlier incarnation can have run
 * it, and if the next one would know that this one did.
 */
final class IdempotencyWindow {
    private Duration arrivedFrom = Duration.ZERO;
    /** Null: not limited. */
    private Duration until;

    /** See {@link OverloadController#permitNonIdempotentStarts}. */
    void permitStarts(Duration requestsArrivedFrom, Duration permittedUntil) {
        arrivedFrom = requestsArrivedFrom;
        until = permittedUntil;
    }

    /** No earlier incarnation can have run what arrived from then on. */
    Duration arrivedFrom() {
        return arrivedFrom;
    }

    boolean forbidsAdmission(Request request, Duration now) {
        boolean mayHaveRun = !isReached(request.arrivedAt(), arrivedFrom);
        return !request.priorityClass().isIdempotent() && (mayHaveRun || forbidsStart(request, now));
    }

    boolean forbidsStart(Request request, Duration now) {
        return !request.priorityClass().isIdempotent() && until != null && isReached(now, until);
    }
}
