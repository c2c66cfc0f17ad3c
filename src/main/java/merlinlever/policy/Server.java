package merlinlever.policy;

import static merlinlever.Spans.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Given;
import merlinlever.Settled;
import merlinlever.policy.Op.Phase;

/**
 * One life of a server, as all parts of the module see it: its clock, what is in hand, in which phase and
 * with how much memory, and the parts, which decide one thing each. Nothing is decided here.
 */
final class Server {
    final List<Tariff> tariffs;
    final int cores;
    /** The shortest soft limit. */
    final Duration span;

    final double runFactor;
    final Mode mode;
    final Capacity capacity;
    /** Of calls, then of the runs of each tariff. */
    final List<Limit> limits = new ArrayList<>();

    final Calls calls;
    final Admission admission;
    final Repeats repeats;
    final Starts starts;
    final Endings endings;
    final Level level;

    final List<Op> hand = new ArrayList<>();
    int held, onCores, atCalls, calling;
    double usedKb;
    Duration clock = Duration.ZERO;
    Settled next = new Settled();

    Server(Given given, long seed) {
        tariffs = Tariff.all(given);
        span = tariffs.stream().map(t -> t.softLimit).min(Duration::compareTo).orElse(Duration.ofSeconds(1));
        cores = (int) Math.max(1, given.number("server.cores", 1));
        runFactor = given.number("server.run-factor", 4);
        mode = new Mode(this, given);
        capacity = new Capacity(this, given);
        for (int i = 0; i <= tariffs.size(); i++) {
            limits.add(new Limit());
        }
        calls = new Calls(this, given, seed);
        admission = new Admission(this, given, seed);
        repeats = new Repeats(this, given);
        starts = new Starts(this, given);
        endings = new Endings(this, given);
        level = new Level(this, given);
    }

    void clock(Duration now) {
        double passed = ms(now.minus(clock));
        if (passed > 0) {
            capacity.passes(passed);
            calls.passes(passed);
            clock = now;
        }
    }

    int running() {
        return onCores + atCalls + calling;
    }

    void move(Op op, Phase to) {
        tally(op, -1);
        starts.moves(op.phase, to);
        op.phase = to;
        tally(op, 1);
    }

    void tally(Op op, int sign) {
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
