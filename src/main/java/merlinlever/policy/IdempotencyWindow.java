package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;

/**
 * Rule 2 across restarts: a request that is not idempotent starts only if no earlier incarnation can have run
 * it, and if the next one would know that this one did.
 */
final class IdempotencyWindow {
    /** Written by {@link OverloadController#permitNonIdempotentStarts}, as the end. */
    Duration arrivedFrom = Duration.ZERO;
    /** Null: not limited. */
    Duration until;

    boolean forbidsAdmission(Request request, Duration now) {
        boolean mayHaveRun = !isReached(request.arrivedAt, arrivedFrom);
        return !request.priorityClass.idempotent && (mayHaveRun || forbidsStart(request, now));
    }

    boolean forbidsStart(Request request, Duration now) {
        return !request.priorityClass.idempotent && until != null && isReached(now, until);
    }
}
