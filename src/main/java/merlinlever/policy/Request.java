package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.common.Durations;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;

/**
 * State of a request from its submission to its end. Events of the request are passed to the part of the
 * controller that handles them. Times are relative to the start of the server.
 */
final class Request implements RequestHandle {
    /** Phase in the lifecycle of a request. */
    enum Phase {
        /** Waiting in the admission queue. */
        QUEUED,
        /** Duplicate that waits until its queued original is started. */
        AWAITING_ORIGINAL,
        /** Running on a core. */
        RUNNING,
        /** Started, and waiting for permission to make a downstream call. */
        AWAITING_CALL,
        /** Started, and waiting for the result of a downstream call. */
        IN_CALL,
        /** Duplicate that is answered with the outcome of its original. */
        SHARING_OUTCOME,
        FINISHED
    }

    private final ServerState server;
    private final PriorityClass priorityClass;
    private final Duration arrivedAt;
    private final Duration deadline;
    private final Duration objectiveAt;
    private final double memoryKb;
    private final double costHintMs;
    private final boolean shareable;
    private final boolean retry;

    private Phase phase = Phase.QUEUED;
    private boolean answered;
    private boolean stopping;
    private Outcome outcome;
    private boolean started;
    private Duration startedAt;
    private Duration inDoubtSince;
    private boolean abandoned;
    private boolean callRetried;
    private Duration retainedUntil;
    private Request original;
    private final List<Request> waitingDuplicates = new ArrayList<>(0);

    Request(ServerState server, Duration now, RequestAttributes attributes) {
        this.server = server;
        priorityClass = server.priorityClasses().get(attributes.priorityClass());
        arrivedAt = now.minus(attributes.readDelay());
        Duration defaultDeadline = arrivedAt.plus(priorityClass.clientTimeout());
        deadline = Durations.later(now, attributes.deadline().orElse(defaultDeadline));
        memoryKb = attributes.memoryKb();
        costHintMs = Durations.toMillis(attributes.costHint().orElse(Duration.ZERO));
        shareable = attributes.shareable() && server.duplicates().canShare(priorityClass);
        retry = attributes.retry();
        Duration stretch = Durations.ofMillis(priorityClass.objectiveStretch() * costHintMs);
        Duration objective = priorityClass.latencyObjective().plus(stretch);
        objectiveAt = Durations.earlier(arrivedAt.plus(objective), deadline);
    }

    PriorityClass priorityClass() {
        return priorityClass;
    }

    Duration arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time at which the caller stops waiting for an answer. */
    Duration deadline() {
        return deadline;
    }

    /** Returns the time until which an answer meets the latency objective; never after the deadline. */
    Duration objectiveAt() {
        return objectiveAt;
    }

    double memoryKb() {
        return memoryKb;
    }

    /** Returns the caller's estimate of the run time, or 0. */
    double costHintMs() {
        return costHintMs;
    }

    /** Whether other reads of the same subject may be answered with the outcome of this request. */
    boolean isShareable() {
        return shareable;
    }

    /** Whether the caller marked the request as a retry. */
    boolean isRetry() {
        return retry;
    }

    Phase phase() {
        return phase;
    }

    /** Sets the phase; called only by {@link ServerState#moveTo}, which validates the transition. */
    void setPhase(Phase next) {
        phase = next;
        inDoubtSince = null;
    }

    /** Whether the request was answered or no longer needs an answer. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Whether a stop of the run was requested. */
    boolean isStopping() {
        return stopping;
    }

    void setStopping(boolean requested) {
        stopping = requested;
    }

    /** Returns the outcome of the run, or null before its end. */
    Outcome outcome() {
        return outcome;
    }

    void setOutcome(Outcome runOutcome) {
        outcome = runOutcome;
    }

    /** Whether the request was started at least once. */
    boolean wasStarted() {
        return started;
    }

    /** Returns the time of the last start, or null. */
    Duration startedAt() {
        return startedAt;
    }

    void markStarted(Duration now) {
        started = true;
        startedAt = now;
    }

    /** Whether the run may have lost a command, and no event of the run was reported since. */
    boolean isInDoubt() {
        return inDoubtSince != null;
    }

    /** Returns the time since which the run is in doubt, or null. */
    Duration inDoubtSince() {
        return inDoubtSince;
    }

    /** Whether the run was abandoned; the time until then is no measure of run times. */
    boolean isAbandoned() {
        return abandoned;
    }

    void markAbandoned() {
        abandoned = true;
    }

    /** Puts the run in doubt until its next phase; called only by {@link ServerState#markInDoubt}. */
    void setInDoubtSince(Duration now) {
        inDoubtSince = now;
    }

    /** Whether the downstream call was retried. */
    boolean wasCallRetried() {
        return callRetried;
    }

    void markCallRetried() {
        callRetried = true;
    }

    /** Returns the time until which duplicates can find the request, or null unless retained. */
    Duration retainedUntil() {
        return retainedUntil;
    }

    void setRetainedUntil(Duration time) {
        retainedUntil = time;
    }

    /** Returns the request that this one duplicates, or the duplicate that replaced this one, or null. */
    Request original() {
        return original;
    }

    void setOriginal(Request request) {
        original = request;
    }

    /** Returns the duplicates that wait for this request; {@link DuplicateRequests} modifies the list. */
    List<Request> waitingDuplicates() {
        return waitingDuplicates;
    }

    Duration expectedRunTime() {
        boolean underPressure = server.admissionControl().isUnderPressure();
        return priorityClass.runTimes().expected(costHintMs, underPressure, priorityClass.latencyObjective());
    }

    /** Whether the request waits for its start or for the outcome of another request, and has no run. */
    boolean isWaiting() {
        return phase == Phase.QUEUED || phase == Phase.AWAITING_ORIGINAL || phase == Phase.SHARING_OUTCOME;
    }

    /** Whether the request waits for its start or its original's start, and was never started before. */
    boolean isWaitingUnstarted() {
        return (phase == Phase.QUEUED || phase == Phase.AWAITING_ORIGINAL) && !started;
    }

    /** Whether the request has a run, which is on a core or waits for a downstream call. */
    boolean isStarted() {
        return phase == Phase.RUNNING || phase == Phase.AWAITING_CALL || phase == Phase.IN_CALL;
    }

    boolean sharesOutcomeOf(Request other) {
        return phase == Phase.SHARING_OUTCOME && original == other;
    }

    boolean isInFlight() {
        return phase != Phase.FINISHED;
    }

    double usedMemoryKb() {
        boolean hasRunMemory = started && phase != Phase.QUEUED && phase != Phase.SHARING_OUTCOME;
        return hasRunMemory ? memoryKb * server.runMemoryFactor() : memoryKb;
    }

    /**
     * Returns this request or the duplicate in its place. Callers may still use the handle of a request
     * that ended without a start in the current batch.
     */
    Request successor() {
        Request current = this;
        while (current.original != null && current.isReplaced()) {
            current = current.original;
        }
        return current;
    }

    private boolean isReplaced() {
        return phase == Phase.AWAITING_ORIGINAL || (phase == Phase.FINISHED && !started);
    }

    @Override
    public void runEnded(Duration now, Outcome runOutcome) {
        server.advanceClock(now);
        server.completions().runEnded(this, now, runOutcome);
    }

    @Override
    public void runInDoubt(Duration now) {
        server.advanceClock(now);
        if (phase == Phase.RUNNING && !isInDoubt()) {
            server.markInDoubt(this, now);
        }
    }

    @Override
    public void callNeeded(Duration now) {
        server.advanceClock(now);
        server.stallDetector().recordProgress(now);
        if (phase == Phase.RUNNING) {
            server.moveTo(this, Phase.AWAITING_CALL);
        }
    }

    @Override
    public void callEnded(Duration now, Outcome callOutcome, Duration elapsed) {
        server.advanceClock(now);
        if (phase == Phase.IN_CALL) {
            server.downstreamCalls().callEnded(this, now, callOutcome, elapsed);
        }
    }

    @Override
    public void callerGone(Duration now) {
        server.advanceClock(now);
        server.completions().callerGone(this, now);
    }
}
