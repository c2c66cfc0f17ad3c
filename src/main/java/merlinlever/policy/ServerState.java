package merlinlever.policy;

import static merlinlever.Durations.toMillis;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Decisions;
import merlinlever.Settings;
import merlinlever.policy.Request.Phase;

/**
 * One life of a server, as all parts of the module see it: its clock, what is in hand, in which phase and
 * with how much memory, and the parts, which decide one thing each. Nothing is decided here.
 */
final class ServerState {
    final List<PriorityClass> tariffs;
    final int cores;
    /** The shortest soft limit. */
    final Duration span;

    final double runFactor;
    final OperatingMode mode;
    final CapacityEstimator capacity;
    /** Of calls, then of the runs of each tariff. */
    final List<QuotaLimiter> limits = new ArrayList<>();

    final DownstreamCalls calls;
    final AdmissionControl admission;
    final DuplicateRequests repeats;
    final Dispatcher starts;
    final Completions endings;
    final BackpressureSignals level;

    final List<Request> hand = new ArrayList<>();
    int held, onCores, atCalls, calling;
    double usedKb;
    Duration clock = Duration.ZERO;
    Decisions next = new Decisions();

    ServerState(Settings given, long seed) {
        tariffs = PriorityClass.all(given);
        span = tariffs.stream().map(t -> t.softLimit).min(Duration::compareTo).orElse(Duration.ofSeconds(1));
        cores = (int) Math.max(1, given.number("server.cores", 1));
        runFactor = given.number("server.run-factor", 4);
        mode = new OperatingMode(this, given);
        capacity = new CapacityEstimator(this, given);
        for (int i = 0; i <= tariffs.size(); i++) {
            limits.add(new QuotaLimiter());
        }
        calls = new DownstreamCalls(this, given, seed);
        admission = new AdmissionControl(this, given, seed);
        repeats = new DuplicateRequests(this, given);
        starts = new Dispatcher(this, given);
        endings = new Completions(this, given);
        level = new BackpressureSignals(this, given);
    }

    void clock(Duration now) {
        double passed = toMillis(now.minus(clock));
        if (passed > 0) {
            capacity.passes(passed);
            calls.passes(passed);
            clock = now;
        }
    }

    int running() {
        return onCores + atCalls + calling;
    }

    void move(Request op, Phase to) {
        tally(op, -1);
        starts.moves(op.phase, to);
        op.phase = to;
        tally(op, 1);
    }

    void tally(Request op, int sign) {
        usedKb += sign * (op.phase == Phase.OVER ? 0 : op.memory());
        switch (op.phase) {
            case HELD -> held += sign;
            case RUNNING -> onCores += sign;
            case AT_CALL -> atCalls += sign;
            case CALLING -> calling += sign;
            default -> {}
        }
        limits.get(0).inUse = calling;
        if (op.phase == Phase.RUNNING || op.phase == Phase.AT_CALL || op.phase == Phase.CALLING) {
            limits.get(op.tariff.index + 1).inUse += sign;
        }
    }
}
