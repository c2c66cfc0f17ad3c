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
 * Runs one experiment at one backend: splits callers among the arms while the backend holds a lease
 * ({@link SplitLease}), counts and publishes the results of requests, and ends the experiment if the backend is the
 * leader and is permitted to decide. The result takes effect only once the experiment's register holds it; a backend
 * that knows the result no longer splits callers. Used on the event loop only.
 */
public final class ExperimentNode implements ArmSelector {

    /**
     * Maximum time since the previous tick that counts as split time; after a longer gap the process was paused or its
     * clock was moved, and callers were not split during the gap.
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
    /** Whether the counts of this backend's earlier processes have been added to the own counts. */
    private boolean restored;

    private boolean splitting;
    private Duration lastTick;
    private Duration nextPublication = Duration.ZERO;
    private Optional<ExperimentResult> result = Optional.empty();
    /** The result that this backend proposes as the leader. */
    private Optional<ExperimentResult> proposedResult = Optional.empty();

    /** @param log receives one line for each event that matters to an operator */
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

    /** Advances the experiment; called every few hundred milliseconds. */
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
        if (mayAssignToArms(now)) {
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

    private boolean mayAssignToArms(Duration now) {
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
        result.ifPresent(adoptedResult -> {
            splitting = false;
            log.info("experiment-ended experiment=" + experiment.name() + " kind=" + adoptedResult.kind() + " arm="
                    + experiment.arms().get(adoptedResult.arm()).name() + " reason=\"" + adoptedResult.reason() + "\"");
            if (restored) {
                publishCounts(now, false);
            }
        });
    }

    /**
     * Adds the counts published by earlier processes of this backend, once and before the first publication by this
     * process.
     */
    private void restoreCounts() {
        if (restored) {
            return;
        }
        restored = true;
        store.get(self, experiment.topic())
                .flatMap(entry -> ExperimentCounts.decode(experiment, entry.value()))
                .map(ExperimentCounts::markProcessEnded)
                .ifPresent(earlier -> {
                    ownCounts.add(earlier);
                    ownCounts.addSplitTime(earlier.splitTime());
                });
    }

    private void publishCounts(Duration now, boolean isStillSplitting) {
        nextPublication = now.plus(experiment.leaseDuration().dividedBy(PUBLICATIONS_PER_LEASE));
        ownCounts.setSplitting(isStillSplitting);
        store.put(now, experiment.topic(), ownCounts.encode());
    }

    /** Publishes the counts at a shutdown, so that the end of the process does not count as a crash. */
    public void shutDown(Duration now) {
        splitting = false;
        if (restored) {
            publishCounts(now, false);
        }
    }

    // ---- the result

    private void decide(Duration now) {
        if (!leadership.isLeader(now) || !isPermitted(now, GuardedAction.DECIDE)) {
            // The next leader decides by the counts that it has at that time.
            proposedResult = Optional.empty();
            return;
        }
        if (proposedResult.isEmpty()) {
            StoppingDecision decision = analysis.evaluate(fleetCounts(), longestSplitTime());
            if (decision.isFinal()) {
                proposedResult = Optional.of(new ExperimentResult(decision.kind(), decision.arm(), decision.reason()));
            } else {
                lease.grant(now, leadership.term());
            }
        }
        proposedResult.ifPresent(ownResult -> registers.propose(now, experiment.key(), ownResult.encode()));
    }

    /** Returns the sum of all known counts of the experiment with this configuration. */
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
        return result.isEmpty() && restored && lease.isHeld(now) && mayAssignToArms(now);
    }

    /** Returns the arm to which a request of the caller belongs now. */
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

    /** Counts an arriving request if callers are split; see {@link ExperimentCounts#requestArrived}. */
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

    /** Returns the result, if this backend knows that the register holds one. */
    public Optional<ExperimentResult> result() {
        return result;
    }

    /** Returns whether this backend is splitting callers. */
    public boolean isSplitting() {
        return splitting;
    }

    /** Returns the configuration of the experiment. */
    public Experiment experiment() {
        return experiment;
    }
}
