package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;
import merlinlever.controller.Decision;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.RunStopping;
import merlinlever.policy.Request.Phase;

/** Decides how a request ends: its run is over, it is rejected or failed, or its time has passed. */
final class Completions {
    private final ServerState server;
    private final boolean canStopRuns;
    private final double fleetSize;

    Completions(ServerState server, ControllerSettings settings) {
        this.server = server;
        canStopRuns = settings.deployment().runStopping() != RunStopping.NONE;
        fleetSize = Math.max(1, settings.downstream().fleetSize());
    }

    /** The run of the request, or the sharing of another's outcome, has ended. */
    void runEnded(Request request, Duration now, Outcome outcome) {
        boolean isQueued = request.phase == Phase.QUEUED;
        if (!request.isInFlight() || (outcome == Outcome.NOT_STARTED && isQueued)) {
            return;
        }
        if (outcome == Outcome.STOPPED && !request.answered && request.stopping) {
            server.moveTo(request, Phase.QUEUED);
            request.stopping = false;
            return;
        }
        server.stallDetector.recordProgress(now);
        request.outcome = outcome;
        learnFromRun(request, now);
        if (outcome == Outcome.OK && request.shareable && request.retainedUntil != null) {
            server.duplicates.retainWhileFresh(request, now);
        }
        finish(request, now);
    }

    /** Only runs that came to their own end say how long runs take. */
    private void learnFromRun(Request request, Duration now) {
        boolean completed = request.outcome == Outcome.OK || request.outcome == Outcome.ERROR;
        if (completed && request.phase == Phase.RUNNING) {
            server.capacity.recordCompletion();
            double runMs = Durations.toMillis(now.minus(request.startedAt));
            request.priorityClass.runTimes.record(runMs, request.costHintMs);
        }
    }

    void callerGone(Request request, Duration now) {
        request.answered = true;
        if (request.isWaiting()) {
            finish(request, now);
        } else if (request.priorityClass.idempotent) {
            stop(request);
        }
    }

    private void finish(Request request, Duration now) {
        if (request.phase != Phase.FINISHED) {
            server.moveTo(request, Phase.FINISHED);
            server.duplicates.requestFinished(request, now);
        }
    }

    void reject(Request request, Duration now, RejectionReason reason, boolean isFinal, Duration retryAfter) {
        if (request.answered || request.started) {
            return;
        }
        request.answered = true;
        server.countRejection(reason);
        server.decided(new Decision.Reject(request, isFinal, retryAfter));
        finish(request, now);
    }

    void fail(Request request, Duration now) {
        if (request.answered) {
            return;
        }
        request.answered = true;
        server.countFailure();
        server.decided(new Decision.Fail(request));
        if (request.isWaiting()) {
            finish(request, now);
        }
    }

    private void stop(Request request) {
        // Requests that share its outcome are still owed it.
        boolean canStop = canStopRuns && request.phase == Phase.RUNNING && !request.stopping;
        if (canStop && server.inFlight.stream().noneMatch(other -> other.sharesOutcomeOf(request))) {
            request.stopping = true;
            server.decided(new Decision.Stop(request));
        }
    }

    /** Ends the request if its time has passed: for any answer, for its start, or for an answer of use. */
    void enforceDeadlines(Request request, Duration now) {
        if (!request.isInFlight() || request.answered) {
            return;
        }
        boolean stopping = server.drain.stopsBy(now.plus(DecisionCycle.INTERVAL));
        boolean waiting = request.isWaitingUnstarted();
        // Rule 1: the answer comes before the deadline, and before the stop.
        if (stopping || Durations.isReached(now, request.deadline)) {
            if (waiting) {
                RejectionReason reason = stopping ? RejectionReason.DRAINING : RejectionReason.EXPIRED;
                reject(request, now, reason, !stopping, Duration.ZERO);
            } else {
                fail(request, now);
                stop(request);
            }
        } else if (waiting) {
            rejectIfLate(request, now);
        } else if (isUselessRun(request, now)) {
            fail(request, now);
            stop(request);
        }
    }

    /** Whether the run of the request only keeps queued ones from the cores: its answer has no weight. */
    private boolean isUselessRun(Request request, Duration now) {
        return canStopRuns
                && server.queuedCount() > 0
                && request.phase != Phase.SHARING_OUTCOME
                && Durations.isReached(now, request.objectiveAt)
                && request.priorityClass.lateWeight == 0;
    }

    /** Rejects a waiting request if a start now would miss its objective, or if no run makes progress. */
    private void rejectIfLate(Request request, Duration now) {
        Duration maxRetryAfter = server.admissionControl.maxRetryAfter;
        if (server.stallDetector.stalled) {
            reject(request, now, RejectionReason.STALLED, false, maxRetryAfter);
        } else if (Durations.isReached(now.plus(request.expectedRunTime()), request.objectiveAt)) {
            // Too late on a slow server is not too late on each, by the hint, but for a long expensive walk.
            double hintMs = request.costHintMs;
            Duration runTime = hintMs > 0 ? Durations.ofMillis(hintMs) : request.expectedRunTime();
            boolean largeFleet = fleetSize > BackpressureSignals.MANY;
            boolean lateElsewhere = (largeFleet && server.admissionControl.isReadingExpensive())
                    || Durations.isReached(now.plus(runTime), request.objectiveAt);
            double queueMs = server.queuedCount() * server.objectiveMs / server.capacity.queueCapacity();
            Duration retryAfter = Durations.earlier(maxRetryAfter, Durations.ofMillis(queueMs));
            reject(request, now, RejectionReason.EXPIRED, lateElsewhere, retryAfter);
        }
    }
}
