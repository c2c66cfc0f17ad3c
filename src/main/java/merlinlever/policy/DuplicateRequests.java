package merlinlever.policy;

import java.time.Duration;
import merlinlever.controller.Decision;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.policy.Request.Phase;

/** Decides which requests are retained for duplicates and for how long, and how a duplicate is handled. */
final class DuplicateRequests {
    private final ServerState server;
    private final Duration maxOutcomeAge;
    private final Duration maxReadDelay;

    DuplicateRequests(ServerState server, ControllerSettings settings) {
        this.server = server;
        maxOutcomeAge = settings.callers().maxOutcomeAge();
        maxReadDelay = settings.safety().maxReadDelay();
    }

    /** Whether reads of this class may be answered with the outcome of another read of the same subject. */
    boolean canShare(PriorityClass priorityClass) {
        return priorityClass.isIdempotent() && !maxOutcomeAge.isZero();
    }

    /**
     * Handles a duplicate (safety rule 2): a duplicate of a non-idempotent request that may have run shares
     * the outcome of the original or fails, and is never run.
     *
     * @return false if the duplicate is to be admitted like any other arrival
     */
    boolean coalesce(Request request, RequestHandle originalHandle, Duration now) {
        Request original = originalHandle instanceof Request known ? known.successor() : null;
        if (original == null) {
            if (!request.priorityClass().isIdempotent()) {
                server.completions().fail(request, now);
            }
            return request.isAnswered();
        }
        if (original.phase() == Phase.QUEUED && !original.wasStarted()) {
            awaitOriginal(request, original, now);
            return true;
        }
        if (hasOutcomeFor(request, original) && server.capacity().hasMemoryFor(0)) {
            shareOutcome(request, original);
        } else if (!request.priorityClass().isIdempotent() && original.wasStarted()) {
            server.completions().fail(request, now);
        } else {
            original.setOriginal(request);
            return false;
        }
        return true;
    }

    /** Whether the original has, or will have, an outcome that the request may share. */
    private static boolean hasOutcomeFor(Request request, Request original) {
        if (original.isInFlight()) {
            return !original.isStopping();
        }
        boolean sharesError =
                original.outcome() == Outcome.ERROR && !request.priorityClass().isIdempotent();
        return original.outcome() == Outcome.OK || sharesError;
    }

    private void awaitOriginal(Request request, Request original, Duration now) {
        // Safety rule 3: a request that arrived after the grace period must not replace its original either.
        boolean pastGrace = server.drain().isPastGrace(request);
        if (pastGrace || !server.capacity().hasMemoryFor(0)) {
            RejectionReason reason = pastGrace ? RejectionReason.DRAINING : RejectionReason.MEMORY;
            server.completions().reject(request, now, reason, false, Duration.ZERO);
        } else {
            request.setOriginal(original);
            original.waitingDuplicates().add(request);
            server.moveTo(request, Phase.AWAITING_ORIGINAL);
        }
    }

    /**
     * Resolves the duplicates that wait for a request. If the request was started, they share its outcome.
     * Otherwise the first duplicate that fits into memory replaces the request in the queue and in the
     * retention table.
     */
    void resolveWaitingDuplicates(Request request, Duration now) {
        Request successor = null;
        for (Request duplicate : request.waitingDuplicates()) {
            if (duplicate.phase() != Phase.AWAITING_ORIGINAL) {
                continue;
            }
            if (request.wasStarted()) {
                shareOutcome(duplicate, request);
            } else if (successor == null) {
                successor = replaceOriginal(duplicate, request, now) ? duplicate : null;
            } else {
                duplicate.setOriginal(successor);
                successor.waitingDuplicates().add(duplicate);
            }
        }
        request.waitingDuplicates().clear();
    }

    private boolean replaceOriginal(Request successor, Request original, Duration now) {
        successor.setOriginal(null);
        original.setOriginal(successor);
        server.moveTo(successor, Phase.QUEUED);
        server.retained().remove(original);
        boolean hasMemory = hasMemoryFor(successor);
        if (hasMemory) {
            retainFromAdmission(successor, now);
        } else {
            server.completions().reject(successor, now, RejectionReason.MEMORY, false, Duration.ZERO);
        }
        return hasMemory;
    }

    private void shareOutcome(Request request, Request original) {
        request.setOriginal(original);
        server.moveTo(request, Phase.SHARING_OUTCOME);
        server.addDecision(new Decision.ShareOutcome(request));
    }

    /** Handles the end of a request: decides for how long the request and its handle are kept. */
    void requestFinished(Request request, Duration now) {
        // The handle of a request that never ran is released at once: no outcome can be shared, and a flood
        // of rejections would fill the memory with handles.
        if (request.wasStarted()) {
            Duration handleLifetime =
                    request.priorityClass().idempotencyWindow().plus(maxReadDelay);
            server.retained().releaseAt(request, now.plus(handleLifetime));
        } else {
            server.addDecision(new Decision.Release(request));
        }
        resolveWaitingDuplicates(request, now);
        boolean hasNoOutcomeToShare =
                !request.wasStarted() || (request.isShareable() && request.outcome() != Outcome.OK);
        if (hasNoOutcomeToShare && server.retained().remove(request)) {
            server.addDecision(new Decision.Evict(request));
        }
    }

    /** Whether there is memory for the request's entry in the retention table, if any (safety rule 4). */
    boolean hasMemoryFor(Request request) {
        boolean isRetained = request.priorityClass().isIdempotentByKey() || request.isShareable();
        return server.capacity().hasMemoryFor(isRetained ? server.retained().entryKb() : 0);
    }

    void retainFromAdmission(Request request, Duration now) {
        if (request.priorityClass().isIdempotentByKey()) {
            server.retained().retain(request, now, request.priorityClass().idempotencyWindow());
        } else if (request.isShareable()) {
            server.retained().retain(request, now, request.deadline().minus(now).plus(maxOutcomeAge));
        }
    }

    void retainForSharing(Request request, Duration now) {
        server.retained().retain(request, now, maxOutcomeAge);
    }
}
