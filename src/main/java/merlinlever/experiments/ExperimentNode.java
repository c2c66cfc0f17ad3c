package merlinlever.experiments;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.election.Leadership;
import merlinlever.replication.SharedStore;
import merlinlever.replication.VersionedEntry;
import merlinlever.replication.WriteOnceRegisters;
import merlinlever.view.ActionPermissions;
import merlinlever.view.FleetView;
import merlinlever.view.GuardedAction;

/**
 * One backend's part in one trial: splits callers while it holds a lease ({@link SplitLease}), counts, says its counts, and ends the trial
 * where it leads and may decide. The end is what its register holds, once it is written there; before, nobody runs by it, and
 * after, nobody splits who knows it.
 */
public final class ExperimentNode implements ArmSelector {

    /** By a look that comes later than this the trial has not run for longer: the process stood still, or its clock was moved. */
    private static final Duration MOST_RUN = Duration.ofSeconds(1);

    private final String self;
    private final Experiment trial;
    private final BucketAssignment split;
    private final SequentialAnalysis sequential;
    private final FleetView seen;
    private final Leadership leadership;
    private final WriteOnceRegisters registers;
    private final SharedStore common;
    private final Consumer<String> log;
    private final SplitLease lease;
    private final ExperimentCounts mine;
    private boolean carried;
    private boolean splits;
    private Duration last;
    private Duration nextTold = Duration.ZERO;
    private ExperimentResult end;
    private ExperimentResult proposed;

    public ExperimentNode(
            Duration now,
            String self,
            Experiment trial,
            FleetView seen,
            Leadership leadership,
            WriteOnceRegisters registers,
            SharedStore common,
            Consumer<String> log) {
        this.self = self;
        this.trial = trial;
        this.seen = seen;
        this.leadership = leadership;
        this.registers = registers;
        this.common = common;
        this.log = log;
        split = new BucketAssignment(trial);
        sequential = new SequentialAnalysis(trial);
        lease = new SplitLease(common, self, trial);
        mine = new ExperimentCounts(trial);
        last = now;
    }

    /** To be called every some hundred ms. */
    public void look(Duration now) {
        adopt(now);
        if (end != null) {
            return;
        }
        if (splits && now.compareTo(last) > 0) {
            Duration since = now.minus(last);
            mine.ran(since.compareTo(MOST_RUN) > 0 ? MOST_RUN : since);
        }
        last = now;
        if (seen.permission(now, GuardedAction.USE_ADOPTED) != ActionPermissions.Permission.DENIED) {
            carry();
            if (seen.permission(now, GuardedAction.ADOPT_WIDENING) == ActionPermissions.Permission.ALLOWED) {
                lease.ask(now);
            }
            lease.hear(leadership.leader(now));
            if (now.compareTo(nextTold) >= 0) {
                tell(now, splits);
            }
        }
        decide(now);
        splits = splits(now);
    }

    private void adopt(Duration now) {
        Optional<ExperimentResult> written =
                end != null ? Optional.empty() : ExperimentResult.of(trial, registers.written(trial.key()));
        if (written.isPresent()) {
            end = written.get();
            splits = false;
            log.accept("trial " + trial.name() + " is over, " + end.kind() + ": all go by "
                    + trial.arms().get(end.arm()).name() + "; " + end.why());
            if (carried) {
                tell(now, false);
            }
        }
    }

    /** What a life before had said is the beginning of what this one says: once it has been told what it missed, and before it says anything. */
    private void carry() {
        if (!carried) {
            carried = true;
            common.of(self, trial.topic())
                    .map(word -> ExperimentCounts.read(trial, word.value()))
                    .ifPresent(before -> {
                        ExperimentCounts former = before.former();
                        mine.add(former);
                        mine.ran(former.ran());
                    });
        }
    }

    private void tell(Duration now, boolean open) {
        nextTold = now.plus(trial.lease().dividedBy(4));
        mine.open(open);
        common.put(now, trial.topic(), mine.write());
    }

    /** Before it ends in good order. */
    public void leave(Duration now) {
        splits = false;
        if (carried) {
            tell(now, false);
        }
    }

    // ---- the end

    private void decide(Duration now) {
        if (!leadership.isLeader(now)
                || seen.permission(now, GuardedAction.DECIDE) != ActionPermissions.Permission.ALLOWED) {
            // A leader after it decides by what it knows then.
            proposed = null;
            return;
        }
        if (proposed == null) {
            StoppingDecision verdict = sequential.look(all(), ran());
            if (verdict.ends()) {
                proposed = new ExperimentResult(verdict.kind(), verdict.arm(), verdict.why());
            } else {
                lease.answer(now, leadership.term());
            }
        }
        if (proposed != null) {
            registers.propose(now, trial.key(), proposed.write());
        }
    }

    /** All that is known of this very trial; what is of another, or spoilt, counts for nothing. */
    ExperimentCounts all() {
        ExperimentCounts all = new ExperimentCounts(trial);
        for (VersionedEntry word : common.all(trial.topic())) {
            ExperimentCounts one = word.owner().equals(self) ? mine : ExperimentCounts.read(trial, word.value());
            if (one != null) {
                all.add(one);
            }
        }
        return all;
    }

    private Duration ran() {
        Duration longest = mine.ran();
        for (VersionedEntry word : common.all(trial.topic())) {
            ExperimentCounts one = ExperimentCounts.read(trial, word.value());
            longest = one != null && one.ran().compareTo(longest) > 0 ? one.ran() : longest;
        }
        return longest;
    }

    // ---- the split

    private boolean splits(Duration now) {
        return end == null
                && carried
                && lease.holds(now)
                && seen.permission(now, GuardedAction.USE_ADOPTED) != ActionPermissions.Permission.DENIED;
    }

    /** By which arm the caller's operation goes. */
    public int arm(Duration now, String caller) {
        splits = splits && splits(now);
        return end != null ? end.arm() : splits ? split.arm(caller) : trial.safe();
    }

    @Override
    public int arm(String caller) {
        return arm(last, caller);
    }

    /** An operation was asked; null where nothing is split, and it does not count. See {@link ExperimentCounts#asked}. */
    public ExperimentCounts.CountedRequest asked(Duration now, String caller, String operation, boolean again) {
        arm(now, caller);
        return splits ? mine.asked(caller, operation, again) : null;
    }

    /** See {@link ExperimentCounts#became}. */
    public void became(ExperimentCounts.CountedRequest op, ExperimentCounts.RequestResult how, double worth) {
        if (op != null && end == null) {
            mine.became(op, how, worth);
        }
    }

    /** The end, once it is known here to be written. */
    public Optional<ExperimentResult> end() {
        return Optional.ofNullable(end);
    }

    public boolean splitting() {
        return splits;
    }

    public Experiment trial() {
        return trial;
    }

    ExperimentCounts counts() {
        return mine;
    }
}
