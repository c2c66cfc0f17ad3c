package merlinlever.policy;

import java.time.Duration;
import merlinlever.controller.Decision;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.policy.Request.Phase;

/** Decides which requests are retained for duplicates, for how long, and what becomes of a duplicate. */
final class DuplicateRequests {
    private final ServerState server;
    private final Duration maxOutcomeAge;
    private final Duration maxReadDelay;

    DuplicateRequests(ServerState server, ControllerSettings settings) {
        this.server = server;
        maxOutcomeAge = settings.callers().maxOutcomeAge();
        maxReadDelay = settings.safety().maxReadDelay();
    }

    /** Whether a read of this class may be answered with the outcome of another. */
    boolean canShare(PriorityClass priorityClass) {
        return priorityClass.isIdempotent() && !maxOutcomeAge.isZero();
    }

    /**
     * Rule 2: a duplicate of a request that may have run shares its outcome or fails, it is never run itself.
     * Returns whether that settles it; else it is decided on like any other arrival.
     */
    boolean coalesce(Request request, RequestHandle originalHandle, Duration now) {
        Request original = originalHandle instanceof Request coalescedWith ? coalescedWith.successor() : null;
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

    /** Whether the original has an outcome that the request may share, or will have one. */
    private static boolean hasOutcomeFor(Request request, Request original) {
        if (original.isInFlight()) {
            return !original.isStopping();
        }
        boolean lastingError =
                original.outcome() == Outcome.ERROR && !request.priorityClass().isIdempotent();
        return original.outcome() == Outcome.OK || lastingError;
    }

    private void awaitOriginal(Request request, Request original, Duration now) {
        // Rule 3: what arrived after the grace may not take the place of an original either.
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
     * Resolves what waits for a request: it was started, and its duplicates share its outcome; or it ended
     * unstarted, and the first of them takes its place and is retained in its stead.
     */
    void resolveWaiting(Request request, Duration now) {
        Request successor = null;
        for (Request duplicate : request.waitingDuplicates()) {
            if (duplicate.phase() != Phase.AWAITING_ORIGINAL) {
                continue;
            }
            if (request.wasStarted()) {
                shareOutcome(duplicate, request);
            } else if (successor == null) {
                successor = takePlace(duplicate, request, now) ? duplicate : null;
            } else {
                duplicate.setOriginal(successor);
                successor.waitingDuplicates().add(duplicate);
            }
        }
        request.waitingDuplicates().clear();
    }

    private boolean takePlace(Request successor, Request request, Duration now) {
        successor.setOriginal(null);
        request.setOriginal(successor);
        server.moveTo(successor, Phase.QUEUED);
        server.retained().remove(request);
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
        server.decided(new Decision.ShareOutcome(request));
    }

    /** Called when a request has just ended: decides how long it is known from now on. */
    void requestFinished(Request request, Duration now) {
        // Nothing names again what never ran; kept, a flood of rejections would fill the memory.
        if (request.wasStarted()) {
            Duration knownFor = request.priorityClass().idempotencyWindow().plus(maxReadDelay);
            server.retained().releaseAt(request, now.plus(knownFor));
        } else {
            server.decided(new Decision.Release(request));
        }
        resolveWaiting(request, now);
        boolean useless = !request.wasStarted() || (request.isShareable() && request.outcome() != Outcome.OK);
        if (useless && server.retained().remove(request)) {
            server.decided(new Decision.Evict(request));
        }
    }

    /** Rule 4: whether there is memory for what has to be retained of the request. */
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

    void retainWhileFresh(Request request, Duration now) {
        server.retained().retain(request, now, maxOutcomeAge);
    }
}
