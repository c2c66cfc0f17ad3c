package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;
import merlinlever.controller.Decision;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.RunStopping;
import merlinlever.policy.Request.Phase;

/** Decides how a request ends: by the end of its run, a rejection, a failure or an expired deadline. */
final class Completions {
    private final ServerState server;
    private final boolean canStopRuns;
    private final double fleetSize;

    Completions(ServerState server, ControllerSettings settings) {
        this.server = server;
        canStopRuns = settings.deployment().runStopping() != RunStopping.NONE;
        fleetSize = Math.max(1, settings.downstream().fleetSize());
    }

    /** Handles the end of the request's run, or of sharing the outcome of another request. */
    void runEnded(Request request, Duration now, Outcome outcome) {
        boolean isQueued = request.phase() == Phase.QUEUED;
        if (!request.isInFlight() || (outcome == Outcome.NOT_STARTED && isQueued)) {
            return;
        }
        if (outcome == Outcome.STOPPED && !request.isAnswered() && request.isStopping()) {
            server.moveTo(request, Phase.QUEUED);
            request.setStopping(false);
            return;
        }
        server.stallDetector().recordProgress(now);
        request.setOutcome(outcome);
        updateEstimates(request, now);
        if (outcome == Outcome.OK && request.isShareable() && request.retainedUntil() != null) {
            server.duplicates().retainForSharing(request, now);
        }
        finish(request, now);
    }

    /** Updates the estimates of capacity and run time, with runs only that were not stopped. */
    private void updateEstimates(Request request, Duration now) {
        boolean completed = request.outcome() == Outcome.OK || request.outcome() == Outcome.ERROR;
        if (completed && !request.isAbandoned() && request.phase() == Phase.RUNNING) {
            server.capacity().recordCompletion();
            double runMs = Durations.toMillis(now.minus(request.startedAt()));
            request.priorityClass().runTimes().record(runMs, request.costHintMs());
        }
    }

    void callerGone(Request request, Duration now) {
        request.markAnswered();
        if (request.isWaiting()) {
            finish(request, now);
        } else if (request.priorityClass().isIdempotent()) {
            stop(request);
        }
    }

    private void finish(Request request, Duration now) {
        if (request.phase() != Phase.FINISHED) {
            server.moveTo(request, Phase.FINISHED);
            server.duplicates().requestFinished(request, now);
        }
    }

    void reject(Request request, Duration now, RejectionReason reason, boolean isFinal, Duration retryAfter) {
        if (request.isAnswered() || request.wasStarted()) {
            return;
        }
        request.markAnswered();
        server.countRejection(reason);
        server.addDecision(new Decision.Reject(request, isFinal, retryAfter));
        finish(request, now);
    }

    void fail(Request request, Duration now) {
        if (request.isAnswered()) {
            return;
        }
        request.markAnswered();
        server.countFailure();
        server.addDecision(new Decision.Fail(request));
        if (request.isWaiting()) {
            finish(request, now);
        }
    }

    private void stop(Request request) {
        boolean canStop = canStopRuns && request.phase() == Phase.RUNNING && !request.isStopping();
        if (canStop && (request.isAbandoned() || !isOutcomeAwaited(request))) {
            request.setStopping(true);
            server.addDecision(new Decision.Stop(request));
        }
    }

    /** Whether duplicates wait for the outcome of the request's run, which is therefore not stopped. */
    private boolean isOutcomeAwaited(Request request) {
        return server.inFlight().stream().anyMatch(other -> other.sharesOutcomeOf(request));
    }

    /**
     * Abandons a run that may have lost a command and has made no progress since, for as long as it takes to
     * detect a stall. Safety rule 2: the run is not started again, as it may have taken effect.
     */
    private void abandonIfLost(Request request, Duration now) {
        if (request.isInDoubt()
                && !request.isAbandoned()
                && Durations.isReached(
                        now, request.inDoubtSince().plus(server.stallDetector().timeout()))) {
            request.markAbandoned();
            fail(request, now);
            stop(request);
            server.addDecision(new Decision.AbandonRun(request));
        }
    }

    /** Ends the request if its deadline is reached or if its answer would miss the latency objective. */
    void enforceDeadlines(Request request, Duration now) {
        abandonIfLost(request, now);
        if (!request.isInFlight() || request.isAnswered()) {
            return;
        }
        boolean stopping = server.drain().stopsBy(now.plus(DecisionCycle.INTERVAL));
        boolean waiting = request.isWaitingUnstarted();
        // Safety rule 1: the request is answered before its deadline and before the process is stopped.
        if (stopping || Durations.isReached(now, request.deadline())) {
            if (waiting) {
                RejectionReason reason = stopping ? RejectionReason.DRAINING : RejectionReason.EXPIRED;
                reject(request, now, reason, !stopping, Duration.ZERO);
            } else {
                fail(request, now);
                stop(request);
            }
        } else if (waiting) {
            rejectIfLate(request, now);
        } else if (blocksQueueWithoutWeight(request, now)) {
            fail(request, now);
            stop(request);
        }
    }

    /** Whether the request's run blocks queued requests although its late answer would have no weight. */
    private boolean blocksQueueWithoutWeight(Request request, Duration now) {
        return canStopRuns
                && server.queuedCount() > 0
                && request.phase() != Phase.SHARING_OUTCOME
                && Durations.isReached(now, request.objectiveAt())
                && request.priorityClass().lateWeight() == 0;
    }

    /** Rejects a waiting request if the runs are stalled or if a start now would miss its objective. */
    private void rejectIfLate(Request request, Duration now) {
        Duration maxRetryAfter = server.admissionControl().maxRetryAfter();
        if (server.stallDetector().isStalled()) {
            reject(request, now, RejectionReason.STALLED, false, maxRetryAfter);
        } else if (Durations.isReached(now.plus(request.expectedRunTime()), request.objectiveAt())) {
            // Another server may still meet the objective if the cost hint leaves enough time. In a large
            // fleet where reading a request is expensive, retries elsewhere cost too much.
            double hintMs = request.costHintMs();
            Duration runTimeElsewhere = hintMs > 0 ? Durations.ofMillis(hintMs) : request.expectedRunTime();
            boolean largeFleet = fleetSize > BackpressureSignals.MANY_CLIENTS;
            boolean lateElsewhere = (largeFleet && server.admissionControl().isReadingExpensive())
                    || Durations.isReached(now.plus(runTimeElsewhere), request.objectiveAt());
            double queueDrainMs = server.queuedCount()
                    * server.objectiveMs()
                    / server.capacity().queueCapacity();
            Duration retryAfter = Durations.earlier(maxRetryAfter, Durations.ofMillis(queueDrainMs));
            reject(request, now, RejectionReason.EXPIRED, lateElsewhere, retryAfter);
        }
    }
}
