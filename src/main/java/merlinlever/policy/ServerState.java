package merlinlever.policy;

import static merlinlever.common.Durations.toMillis;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.policy.Request.Phase;

/**
 * The state of one server incarnation that the parts of the controller share: the time, the requests in
 * flight, how many of them are in each phase, the memory that they use, the quotas, the counters for
 * monitoring, and the parts themselves. It decides nothing.
 *
 * <p>All counts are written here alone, by the methods below; the fields of a {@link Request} by the part
 * that is named beside each of them.
 */
final class ServerState {
    final List<PriorityClass> priorityClasses;
    final int cores;
    /** The shortest latency objective of all priority classes, in milliseconds. */
    final double objectiveMs;
    /** How many times the memory of a queued request a started one uses. */
    final double runMemoryFactor;

    final StallDetector stallDetector;
    final DrainState drain;
    final IdempotencyWindow idempotencyWindow;
    final RunQueueGauge runQueue;
    final RetentionTable retained;
    final CapacityEstimator capacity;
    final DownstreamCalls downstreamCalls;
    final AdmissionControl admissionControl;
    final DuplicateRequests duplicates;
    final Dispatcher dispatcher;
    final Completions completions;
    final BackpressureSignals backpressure;

    /** In the order of submission; finished requests leave with the next decision. */
    final List<Request> inFlight = new ArrayList<>();

    /** Of downstream calls, then of the runs of each priority class. */
    private final List<QuotaLimiter> quotas = new ArrayList<>();

    private int queuedCount;
    private int onCoreCount;
    private int awaitingCallCount;
    private int inCallCount;
    private double usedMemoryKb;
    private final PhaseTransitions phaseTransitions = new PhaseTransitions();
    private boolean loggedIllegalPhaseChange;
    private final Map<RejectionReason, Long> rejections = new EnumMap<>(RejectionReason.class);
    private long failures;
    /** Null before the first report. */
    private Boolean reportedHealth;

    private Duration now = Duration.ZERO;
    private Decisions.Builder decisions = new Decisions.Builder();

    ServerState(ControllerSettings settings, long seed) {
        priorityClasses = PriorityClass.fromSettings(settings);
        objectiveMs = toMillis(priorityClasses.stream()
                .map(priorityClass -> priorityClass.latencyObjective)
                .min(Duration::compareTo)
                .orElse(Duration.ofSeconds(1)));
        for (RejectionReason reason : RejectionReason.values()) {
            rejections.put(reason, 0L);
        }
        cores = settings.server().cores();
        runMemoryFactor = settings.server().runMemoryFactor();
        runQueue = new RunQueueGauge(settings.server());
        retained = new RetentionTable(this, settings.server());
        stallDetector = new StallDetector(this);
        drain = new DrainState(this, settings.safety());
        idempotencyWindow = new IdempotencyWindow();
        capacity = new CapacityEstimator(this, settings);
        for (int i = 0; i <= priorityClasses.size(); i++) {
            quotas.add(new QuotaLimiter());
        }
        downstreamCalls = new DownstreamCalls(this, settings, seed);
        admissionControl = new AdmissionControl(this, settings, seed);
        duplicates = new DuplicateRequests(this, settings);
        dispatcher = new Dispatcher(this);
        completions = new Completions(this, settings);
        backpressure = new BackpressureSignals(this, settings);
    }

    /** The weights of all priority classes. */
    DoubleStream weights() {
        return priorityClasses.stream().mapToDouble(priorityClass -> priorityClass.weight);
    }

    /** Time since the start of the server, as of the latest event. */
    Duration now() {
        return now;
    }

    /** Called with every event; time never goes back. */
    void advanceClock(Duration time) {
        double elapsedMs = toMillis(time.minus(now));
        if (elapsedMs > 0) {
            capacity.accrueBusyTime(elapsedMs);
            downstreamCalls.accrueCredit(elapsedMs);
            now = time;
        }
    }

    /** Adds a decision to those since the last {@link #takeDecisions}. */
    void decided(Decision decision) {
        decisions.add(decision);
    }

    /** Withdraws the decisions to share an outcome of requests that have ended since. */
    void withdrawOutdatedShares() {
        decisions.withdrawShares(handle -> ((Request) handle).phase != Phase.SHARING_OUTCOME);
    }

    Decisions takeDecisions(Duration nextDecisionAt) {
        Decisions taken = decisions.build(nextDecisionAt);
        decisions = new Decisions.Builder();
        return taken;
    }

    void logDrain(Duration untilStop) {
        decided(new Decision.Log(new ControllerEvent.DrainStarted(untilStop, queuedCount, startedCount())));
    }

    void logStall(boolean stalled, Duration silence) {
        ControllerEvent event = new ControllerEvent.StallChanged(stalled, onCoreCount, queuedCount, silence);
        decided(new Decision.Log(event));
    }

    /** Logs the first one only: a fault that repeats would fill the log. */
    void logIllegalPhaseChange(Phase from, Phase to) {
        if (!loggedIllegalPhaseChange) {
            loggedIllegalPhaseChange = true;
            decided(new Decision.Log(new ControllerEvent.IllegalPhaseChange(from.name(), to.name())));
        }
    }

    /** Reports the health if it has changed. */
    void reportHealth(boolean healthy) {
        if (reportedHealth == null || healthy != reportedHealth) {
            reportedHealth = healthy;
            decided(new Decision.ReportHealth(healthy));
        }
    }

    void countRejection(RejectionReason reason) {
        rejections.merge(reason, 1L, Long::sum);
    }

    void countFailure() {
        failures++;
    }

    /** Rejections since the start, with every reason in the order of their declaration. */
    Map<RejectionReason, Long> rejections() {
        return Collections.unmodifiableMap(new EnumMap<>(rejections));
    }

    /** Failures since the start. */
    long failures() {
        return failures;
    }

    /** The quota of downstream calls. */
    QuotaLimiter callQuota() {
        return quotas.get(0);
    }

    /** The quota of the runs of a priority class. */
    QuotaLimiter runQuota(PriorityClass priorityClass) {
        return quota(priorityClass.index);
    }

    /** The quota of the runs of the priority class with this index, or of downstream calls for -1. */
    QuotaLimiter quota(int classIndex) {
        return quotas.get(classIndex + 1);
    }

    int queuedCount() {
        return queuedCount;
    }

    int onCoreCount() {
        return onCoreCount;
    }

    int awaitingCallCount() {
        return awaitingCallCount;
    }

    int inCallCount() {
        return inCallCount;
    }

    /** On the cores, waiting for a call or in one. */
    int startedCount() {
        return onCoreCount + awaitingCallCount + inCallCount;
    }

    double usedMemoryKb() {
        return usedMemoryKb;
    }

    /** Reserves memory beyond that of the requests themselves; a negative amount releases it. */
    void reserve(double kb) {
        usedMemoryKb += kb;
    }

    void add(Request request) {
        inFlight.add(request);
        adjustCounts(request, 1);
    }

    /** An illegal change fails where assertions are on; in service it is logged, and carried out. */
    void moveTo(Request request, Phase phase) {
        boolean legal = phaseTransitions.isLegal(request.phase, phase);
        assert legal : "illegal phase change from " + request.phase + " to " + phase;
        if (!legal) {
            logIllegalPhaseChange(request.phase, phase);
        }
        adjustCounts(request, -1);
        runQueue.phaseChanged(request.phase, phase);
        request.phase = phase;
        adjustCounts(request, 1);
    }

    private void adjustCounts(Request request, int sign) {
        usedMemoryKb += sign * (request.phase == Phase.FINISHED ? 0 : request.usedMemoryKb());
        switch (request.phase) {
            case QUEUED -> queuedCount += sign;
            case RUNNING -> onCoreCount += sign;
            case AWAITING_CALL -> awaitingCallCount += sign;
            case IN_CALL -> inCallCount += sign;
            case AWAITING_ORIGINAL, SHARING_OUTCOME, FINISHED -> {}
        }
        callQuota().inUse = inCallCount;
        if (request.isStarted()) {
            runQuota(request.priorityClass).inUse += sign;
        }
    }
}
