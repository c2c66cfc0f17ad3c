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
 * State of one server incarnation that the parts of the controller share: the clock, the requests in flight,
 * their number by phase, their memory, the quotas, the counters for monitoring, and the parts themselves.
 * Only this class modifies the counts.
 */
final class ServerState {
    private final List<PriorityClass> priorityClasses;
    private final int cores;
    private final double objectiveMs;
    private final double runMemoryFactor;

    private final StallDetector stallDetector;
    private final DrainState drain;
    private final IdempotencyWindow idempotencyWindow;
    private final RunQueueGauge runQueue;
    private final RetentionTable retained;
    private final CapacityEstimator capacity;
    private final DownstreamCalls downstreamCalls;
    private final AdmissionControl admissionControl;
    private final DuplicateRequests duplicates;
    private final Dispatcher dispatcher;
    private final Completions completions;
    private final BackpressureSignals backpressure;

    private final List<Request> inFlight = new ArrayList<>();

    /** The quota of downstream calls, followed by the quotas of the runs of each priority class. */
    private final List<QuotaLimiter> quotas = new ArrayList<>();

    private int queuedCount;
    private int onCoreCount;
    private int inDoubtCount;
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
                .map(priorityClass -> priorityClass.latencyObjective())
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

    List<PriorityClass> priorityClasses() {
        return priorityClasses;
    }

    int cores() {
        return cores;
    }

    /** Returns the shortest latency objective of all priority classes, in milliseconds. */
    double objectiveMs() {
        return objectiveMs;
    }

    /** Returns the ratio of the memory of a started request to the memory of a queued one. */
    double runMemoryFactor() {
        return runMemoryFactor;
    }

    StallDetector stallDetector() {
        return stallDetector;
    }

    DrainState drain() {
        return drain;
    }

    IdempotencyWindow idempotencyWindow() {
        return idempotencyWindow;
    }

    RunQueueGauge runQueue() {
        return runQueue;
    }

    RetentionTable retained() {
        return retained;
    }

    CapacityEstimator capacity() {
        return capacity;
    }

    DownstreamCalls downstreamCalls() {
        return downstreamCalls;
    }

    AdmissionControl admissionControl() {
        return admissionControl;
    }

    DuplicateRequests duplicates() {
        return duplicates;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    Completions completions() {
        return completions;
    }

    BackpressureSignals backpressure() {
        return backpressure;
    }

    /** Returns the requests in order of submission; the next decision cycle removes finished ones. */
    List<Request> inFlight() {
        return inFlight;
    }

    /** Returns the weights of all priority classes. */
    DoubleStream weights() {
        return priorityClasses.stream().mapToDouble(priorityClass -> priorityClass.weight());
    }

    /** Returns the time of the latest event, relative to the start of the server. */
    Duration now() {
        return now;
    }

    /** Advances the clock to the time of an event; an earlier time has no effect. */
    void advanceClock(Duration time) {
        double elapsedMs = toMillis(time.minus(now));
        if (elapsedMs > 0) {
            capacity.accrueBusyTime(elapsedMs);
            downstreamCalls.accrueCredit(elapsedMs);
            now = time;
        }
    }

    /** Adds a decision to the current batch. */
    void addDecision(Decision decision) {
        decisions.add(decision);
    }

    /** Removes decisions to share an outcome if the duplicate has ended in the meantime. */
    void removeOutdatedShares() {
        decisions.removeOutdatedShares(handle -> ((Request) handle).phase() != Phase.SHARING_OUTCOME);
    }

    /** Returns the current batch of decisions and begins a new one. */
    Decisions takeDecisions(Duration nextDecisionAt) {
        Decisions batch = decisions.build(nextDecisionAt);
        decisions = new Decisions.Builder();
        return batch;
    }

    void logDrain(Duration stopIn) {
        addDecision(new Decision.Log(new ControllerEvent.DrainStarted(stopIn, queuedCount, startedCount())));
    }

    void logStall(boolean stalled, Duration silence) {
        ControllerEvent event = new ControllerEvent.StallChanged(stalled, onCoreCount, queuedCount, silence);
        addDecision(new Decision.Log(event));
    }

    /** Logs the first illegal phase change only, so that a recurring fault does not fill the log. */
    void logIllegalPhaseChange(Phase from, Phase to) {
        if (!loggedIllegalPhaseChange) {
            loggedIllegalPhaseChange = true;
            addDecision(new Decision.Log(new ControllerEvent.IllegalPhaseChange(from.name(), to.name())));
        }
    }

    /** Reports the health of the server if the health has changed. */
    void reportHealth(boolean healthy) {
        if (reportedHealth == null || healthy != reportedHealth) {
            reportedHealth = healthy;
            addDecision(new Decision.ReportHealth(healthy));
        }
    }

    void countRejection(RejectionReason reason) {
        rejections.merge(reason, 1L, Long::sum);
    }

    void countFailure() {
        failures++;
    }

    /** Returns the rejections since the start, with an entry for every reason in declaration order. */
    Map<RejectionReason, Long> rejections() {
        return Collections.unmodifiableMap(new EnumMap<>(rejections));
    }

    /** Returns the number of failures since the start. */
    long failures() {
        return failures;
    }

    /** Returns the quota of downstream calls. */
    QuotaLimiter callQuota() {
        return quotas.get(0);
    }

    /** Returns the quota of the runs of a priority class. */
    QuotaLimiter runQuota(PriorityClass priorityClass) {
        return quota(priorityClass.index());
    }

    /** Returns the quota of the runs of the priority class with the index, or of downstream calls for -1. */
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

    /** Returns the number of requests that run, may run, or wait for a downstream call. */
    int startedCount() {
        return onCoreCount + inDoubtCount + awaitingCallCount + inCallCount;
    }

    double usedMemoryKb() {
        return usedMemoryKb;
    }

    /** Reserves memory in addition to the memory of the requests; a negative amount releases memory. */
    void reserve(double kb) {
        usedMemoryKb += kb;
    }

    void add(Request request) {
        inFlight.add(request);
        adjustCounts(request, 1);
    }

    /** Changes the phase of a request. An illegal change fails with assertions, else is logged and made. */
    void moveTo(Request request, Phase phase) {
        boolean legal = phaseTransitions.isLegal(request.phase(), phase);
        assert legal : "illegal phase change from " + request.phase() + " to " + phase;
        if (!legal) {
            logIllegalPhaseChange(request.phase(), phase);
        }
        adjustCounts(request, -1);
        runQueue.phaseChanged(request.phase(), phase);
        request.setPhase(phase);
        adjustCounts(request, 1);
    }

    /**
     * Marks a run that may have lost a command. Until its next phase the run does not count as on a core: if
     * it never started, it would lower the estimate of the capacity, and would be taken for a stall.
     */
    void markInDoubt(Request request, Duration time) {
        adjustCounts(request, -1);
        request.setInDoubtSince(time);
        adjustCounts(request, 1);
    }

    private void adjustCounts(Request request, int sign) {
        usedMemoryKb += sign * (request.phase() == Phase.FINISHED ? 0 : request.usedMemoryKb());
        switch (request.phase()) {
            case QUEUED -> queuedCount += sign;
            case RUNNING -> {
                if (request.isInDoubt()) {
                    inDoubtCount += sign;
                } else {
                    onCoreCount += sign;
                }
            }
            case AWAITING_CALL -> awaitingCallCount += sign;
            case IN_CALL -> inCallCount += sign;
            case AWAITING_ORIGINAL, SHARING_OUTCOME, FINISHED -> {}
        }
        callQuota().setInUse(inCallCount);
        if (request.isStarted()) {
            runQuota(request.priorityClass()).adjustInUse(sign);
        }
    }
}
