package merlinlever.fleet.experiments;

import java.time.Duration;
import java.util.Optional;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.replication.SharedStore;
import merlinlever.fleet.replication.VersionedEntry;
import merlinlever.fleet.replication.WriteOnceRegisters;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.GuardedAction;

/**
 * One backend's part in one experiment: splits callers while it holds a lease ({@link SplitLease}), counts, publishes its counts, and, where
 * it leads and is permitted to decide, ends the experiment. The result is what the experiment's register holds once it is written: before
 * that nobody acts on it, and after that nobody who knows it splits callers. Event loop only.
 */
public final class ExperimentNode implements ArmSelector {

    /**
     * A tick that comes later than this counts no longer: the process was paused, or its clock was moved, and callers were not split for so
     * long.
     */
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    private static final int PUBLICATIONS_PER_LEASE = 4;

    private final String self;
    private final Experiment experiment;
    private final BucketAssignment assignment;
    private final SequentialAnalysis analysis;
    private final FleetView view;
    private final Leadership leadership;
    private final WriteOnceRegisters registers;
    private final SharedStore store;
    private final EventLog log;
    private final SplitLease lease;
    private final ExperimentCounts ownCounts;
    /** Whether the counts of this backend's earlier processes are part of its own. */
    private boolean restored;

    private boolean splitting;
    private Duration lastTick;
    private Duration nextPublication = Duration.ZERO;
    private Optional<ExperimentResult> result = Optional.empty();
    /** What this leader proposes. */
    private Optional<ExperimentResult> proposed = Optional.empty();

    /** @param log receives a line for each event that an operator may need */
    public ExperimentNode(
            Duration now,
            String self,
            Experiment experiment,
            FleetView view,
            Leadership leadership,
            WriteOnceRegisters registers,
            SharedStore store,
            EventLog log) {
        this.self = self;
        this.experiment = experiment;
        this.view = view;
        this.leadership = leadership;
        this.registers = registers;
        this.store = store;
        this.log = log;
        assignment = new BucketAssignment(experiment);
        analysis = new SequentialAnalysis(experiment);
        lease = new SplitLease(store, self, experiment);
        ownCounts = new ExperimentCounts(experiment);
        lastTick = now;
    }

    /** Is called every few hundred milliseconds. */
    public void tick(Duration now) {
        adoptResult(now);
        if (result.isPresent()) {
            return;
        }
        if (splitting && now.compareTo(lastTick) > 0) {
            Duration gap = now.minus(lastTick);
            ownCounts.addSplitTime(gap.compareTo(MAX_TICK_GAP) > 0 ? MAX_TICK_GAP : gap);
        }
        lastTick = now;
        if (mayServe(now)) {
            restoreCounts();
            if (isPermitted(now, GuardedAction.ADOPT_WIDENING)) {
                lease.request(now);
            }
            readGrants(now);
            if (now.compareTo(nextPublication) >= 0) {
                publishCounts(now, splitting);
            }
        }
        decide(now);
        splitting = maySplit(now);
    }

    private boolean isPermitted(Duration now, GuardedAction action) {
        return view.permission(now, action) == ActionPermissions.Permission.ALLOWED;
    }

    private boolean mayServe(Duration now) {
        return view.permission(now, GuardedAction.USE_ADOPTED) != ActionPermissions.Permission.DENIED;
    }

    private void readGrants(Duration now) {
        leadership.leader(now).ifPresent(lease::readGrants);
    }

    private void adoptResult(Duration now) {
        if (result.isPresent()) {
            return;
        }
        result = ExperimentResult.decode(experiment, registers.chosen(experiment.key()));
        result.ifPresent(adopted -> {
            splitting = false;
            log.info("experiment-ended experiment=" + experiment.name() + " kind=" + adopted.kind() + " arm="
                    + experiment.arms().get(adopted.arm()).name() + " reason=\"" + adopted.reason() + "\"");
            if (restored) {
                publishCounts(now, false);
            }
        });
    }

    /** Starts with what earlier processes of this backend published; once this one knows that, and before it publishes itself. */
    private void restoreCounts() {
        if (restored) {
            return;
        }
        restored = true;
        store.get(self, experiment.topic())
                .flatMap(entry -> ExperimentCounts.decode(experiment, entry.value()))
                .map(ExperimentCounts::ofEndedProcess)
                .ifPresent(earlier -> {
                    ownCounts.add(earlier);
                    ownCounts.addSplitTime(earlier.splitTime());
                });
    }

    private void publishCounts(Duration now, boolean stillSplitting) {
        nextPublication = now.plus(experiment.leaseDuration().dividedBy(PUBLICATIONS_PER_LEASE));
        ownCounts.setSplitting(stillSplitting);
        store.put(now, experiment.topic(), ownCounts.encode());
    }

    /** Is called at a shutdown, which is no death then. */
    public void shutDown(Duration now) {
        splitting = false;
        if (restored) {
            publishCounts(now, false);
        }
    }

    // ---- the result

    private void decide(Duration now) {
        if (!leadership.isLeader(now) || !isPermitted(now, GuardedAction.DECIDE)) {
            // The next leader decides by what it knows then.
            proposed = Optional.empty();
            return;
        }
        if (proposed.isEmpty()) {
            StoppingDecision decision = analysis.evaluate(fleetCounts(), longestSplitTime());
            if (decision.isFinal()) {
                proposed = Optional.of(new ExperimentResult(decision.kind(), decision.arm(), decision.reason()));
            } else {
                lease.grant(now, leadership.term());
            }
        }
        proposed.ifPresent(toPropose -> registers.propose(now, experiment.key(), toPropose.encode()));
    }

    /** The sum of all known counts of this very experiment. */
    ExperimentCounts fleetCounts() {
        ExperimentCounts sum = new ExperimentCounts(experiment);
        for (VersionedEntry entry : store.entries(experiment.topic())) {
            if (entry.owner().equals(self)) {
                sum.add(ownCounts);
            } else {
                ExperimentCounts.decode(experiment, entry.value()).ifPresent(sum::add);
            }
        }
        return sum;
    }

    private Duration longestSplitTime() {
        Duration longest = ownCounts.splitTime();
        for (VersionedEntry entry : store.entries(experiment.topic())) {
            Duration splitTime = ExperimentCounts.decode(experiment, entry.value())
                    .map(ExperimentCounts::splitTime)
                    .orElse(Duration.ZERO);
            longest = splitTime.compareTo(longest) > 0 ? splitTime : longest;
        }
        return longest;
    }

    // ---- requests

    private boolean maySplit(Duration now) {
        return result.isEmpty() && restored && lease.isHeld(now) && mayServe(now);
    }

    /** The arm that a request of the caller belongs to now. */
    public int arm(Duration now, String caller) {
        splitting = splitting && maySplit(now);
        if (result.isPresent()) {
            return result.get().arm();
        }
        return splitting ? assignment.arm(caller) : experiment.safeArm();
    }

    @Override
    public int arm(String caller) {
        return arm(lastTick, caller);
    }

    /** Counts an arriving request, if callers are split; see {@link ExperimentCounts#requestArrived}. */
    public Optional<ExperimentCounts.CountedRequest> requestArrived(
            Duration now, String caller, Optional<String> requestKey, boolean retry) {
        splitting = splitting && maySplit(now);
        return splitting ? Optional.of(ownCounts.requestArrived(caller, requestKey, retry)) : Optional.empty();
    }

    /** Counts the result of an attempt; see {@link ExperimentCounts#attemptEnded}. */
    public void attemptEnded(
            ExperimentCounts.CountedRequest request, ExperimentCounts.RequestResult requestResult, double value) {
        if (result.isEmpty()) {
            ownCounts.attemptEnded(request, requestResult, value);
        }
    }

    /** The result, once this backend knows that it is written. */
    public Optional<ExperimentResult> result() {
        return result;
    }

    /** Whether this backend is splitting callers. */
    public boolean isSplitting() {
        return splitting;
    }

    /** The experiment that this is a part of. */
    public Experiment experiment() {
        return experiment;
    }
}
