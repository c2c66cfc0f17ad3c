package merlinlever.policy;

import static merlinlever.Spans.*;

import java.time.Duration;
import merlinlever.Ending;
import merlinlever.Given;
import merlinlever.Settled;
import merlinlever.policy.Op.Phase;

/** How many calls to what lies below are in hand, and what becomes of an operation whose call ended. */
final class Calls {
    // Calls in hand a core.
    private static final double CALLS = 4;
    // What is left of the cap on calls after one that did not work.
    private static final double CALL_CUT = 0.8;

    private final Server server;
    private final double most, overMs;
    private double cap, load;
    private Duration cutAt = Duration.ZERO;

    Calls(Server server, Given given) {
        this.server = server;
        // Rule 4: of what all share no more than this server's part; under one, a call now and then.
        double own = CALLS * server.cores;
        most = given.text("server.below", "none").equals("shared")
                ? Math.min(own, given.number("server.share-of-calls", 1)) : own;
        overMs = Math.max(1, given.number("server.calls-over", 5000));
        cap = most;
    }

    void passes(double ms) {
        double fade = Math.exp(-ms / overMs);
        load = fade * load + (1 - fade) * server.calling;
    }

    /** Whether a run that makes calls would wait for one. */
    boolean full() {
        return server.atCalls + server.calling >= cap;
    }

    private boolean mayCall() {
        return server.calling + 1 <= cap || server.calling == 0 && (most >= 1 || load < 0.5 * most);
    }

    void make(Duration now) {
        Limit limit = server.limits.get(0);
        for (Op op : server.hand) {
            if (op.phase == Phase.AT_CALL && !op.answered && mayCall() && limit.allows(now)) {
                server.move(op, Phase.CALLING);
                limit.begins(now);
                Duration span = later(Duration.ofMillis(1), op.due.minus(now));
                server.next.called.add(new Settled.Timed(op,
                        limit.longest == null ? span : earlier(limit.longest, span)));
            }
        }
    }

    void ended(Op op, Duration now, Ending how, Duration took) {
        if (how == Ending.OK) {
            cap = Math.min(most, cap + 1 / cap);
            server.move(op, Phase.RUNNING);
            return;
        }
        if (reached(now.minus(took), cutAt)) {
            // Calls that were out together and fail together say one thing, once.
            cap = Math.max(Math.min(1, most), cap * CALL_CUT);
            cutAt = now;
        }
        // Rule 2: a call that may have had its effect is not made again, but for a retriable operation.
        // Nor is one that was turned away or failed: the edge node between has tried elsewhere, and a
        // crowded tier is not helped by more calls.
        server.move(op, Phase.AT_CALL);
        boolean harmless = how == Ending.UNREACHABLE || how == Ending.CUT_OFF && op.tariff.retriable;
        if (harmless && !op.calledAgain) {
            op.calledAgain = true;
        } else if (op.tariff.withoutCall > 0 && !op.answered) {
            server.move(op, Phase.RUNNING);
            server.next.omitted.add(op);
        } else {
            server.endings.breakOff(op, now);
        }
    }
}
