package merlinlever.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.common.Durations;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;

/**
 * A request from its submission to its end: what is known of it, its phase, and which part handles its
 * events. It decides nothing. Times count from the start of the server.
 */
final class Request implements RequestHandle {
    /** How far a request has come. */
    enum Phase {
        /** In the admission queue, for its start. */
        QUEUED,
        /** A duplicate of a request that is still queued. */
        AWAITING_ORIGINAL,
        /** Its run is on the cores. */
        RUNNING,
        /** Its run waits for a downstream call that is not made yet. */
        AWAITING_CALL,
        /** Its run waits for the downstream call that was made. */
        IN_CALL,
        /** A duplicate that is answered with the outcome of its started original. */
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

    /** When its caller gives up. */
    Duration deadline() {
        return deadline;
    }

    /** When its latency objective is missed; at most the deadline. */
    Duration objectiveAt() {
        return objectiveAt;
    }

    double memoryKb() {
        return memoryKb;
    }

    /** The caller's estimate of its run time, or 0. */
    double costHintMs() {
        return costHintMs;
    }

    /** Whether other requests may be answered with its outcome, a read of the same subject. */
    boolean isShareable() {
        return shareable;
    }

    /** Whether its caller marked it as a retry. */
    boolean isRetry() {
        return retry;
    }

    Phase phase() {
        return phase;
    }

    /** Called by {@link ServerState#moveTo} alone, which checks the change and counts it. */
    void setPhase(Phase next) {
        phase = next;
    }

    /** Whether it was answered, or is owed no answer any more. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Whether its run was asked to stop. */
    boolean isStopping() {
        return stopping;
    }

    void setStopping(boolean asked) {
        stopping = asked;
    }

    /** How its run ended, or null. */
    Outcome outcome() {
        return outcome;
    }

    void setOutcome(Outcome runOutcome) {
        outcome = runOutcome;
    }

    /** Whether it was ever started. */
    boolean wasStarted() {
        return started;
    }

    /** When it was started last, or null. */
    Duration startedAt() {
        return startedAt;
    }

    void markStarted(Duration now) {
        started = true;
        startedAt = now;
    }

    /** Whether its call was made a second time. */
    boolean wasCallRetried() {
        return callRetried;
    }

    void markCallRetried() {
        callRetried = true;
    }

    /** Until when duplicates find it, or null. */
    Duration retainedUntil() {
        return retainedUntil;
    }

    void setRetainedUntil(Duration time) {
        retainedUntil = time;
    }

    /** What it duplicates, or what took its place, or null. */
    Request original() {
        return original;
    }

    void setOriginal(Request request) {
        original = request;
    }

    /** Duplicates in phase {@link Phase#AWAITING_ORIGINAL}; {@link DuplicateRequests} changes the list. */
    List<Request> waitingDuplicates() {
        return waitingDuplicates;
    }

    Duration expectedRunTime() {
        boolean underPressure = server.admissionControl().isUnderPressure();
        return priorityClass.runTimes().expected(costHintMs, underPressure, priorityClass.latencyObjective());
    }

    /** Whether it waits for its start or for the outcome of another, and uses no core. */
    boolean isWaiting() {
        return phase == Phase.QUEUED || phase == Phase.AWAITING_ORIGINAL || phase == Phase.SHARING_OUTCOME;
    }

    /** Whether it waits for its start, or for that of its original, and was never started before. */
    boolean isWaitingUnstarted() {
        return (phase == Phase.QUEUED || phase == Phase.AWAITING_ORIGINAL) && !started;
    }

    /** Whether its run is on the cores, waits for a call or is in one. */
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
        boolean holdsRun = started && phase != Phase.QUEUED && phase != Phase.SHARING_OUTCOME;
        return holdsRun ? memoryKb * server.runMemoryFactor() : memoryKb;
    }

    /** Itself, or what took its place: a request that ended unstarted in this batch may still be named. */
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
