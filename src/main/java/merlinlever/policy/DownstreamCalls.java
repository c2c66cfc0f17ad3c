package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.Decisions;
import merlinlever.Outcome;
import merlinlever.Settings;
import merlinlever.policy.Request.Phase;

/** How many calls to what lies below are in hand, and what becomes of an operation whose call ended. */
final class DownstreamCalls {
    // Calls in hand a core.
    private static final double CALLS = 4;
    // What is left of the cap on calls after one that did not work.
    private static final double CALL_CUT = 0.8;

    private final ServerState server;
    private final double most, lingerMs, leastMs, burstMs;
    private double cap, creditMs;
    private Duration cutAt = Duration.ZERO;

    DownstreamCalls(ServerState server, Settings given, long seed) {
        this.server = server;
        // Rule 4: of what all share this server's part, and saved up its part of what chance leaves all:
        // 2 x sqrt(N) + 2; where they are not counted, one span's part. All survive one call between them.
        boolean shared = given.text("server.below", "none").equals("shared");
        most = Math.min(CALLS * server.cores, shared ? given.number("server.share-of-calls", 1) : 1e9);
        double part = Math.max(most, 0.001), all = given.number("servers", 0), sum = Math.max(part * all, 1);
        lingerMs = shared ? given.number("server.linger", 0) : 0;
        leastMs = Math.max(1, given.number("server.calls-over", 5000)) * part;
        double chance = 2 * (Math.sqrt(sum) + 1) / sum;
        burstMs = Math.max(2 * lingerMs, all < 1 ? lingerMs + leastMs : chance * leastMs);
        // Those that start together and are sent the same do not call together.
        creditMs = burstMs * new SplittableRandom(~seed).nextDouble();
        cap = most;
    }

    void passes(double ms) {
        creditMs = Math.min(burstMs, creditMs + ms * (most - server.calling));
    }

    /** Whether a run that makes calls would wait for one. */
    boolean full() {
        return server.atCalls + server.calling >= cap || (most < 1 && !mayCall());
    }

    // Where it is less than one at once, a call has to fit into what is saved up, and with it its lingering.
    private boolean mayCall() {
        double left = creditMs - lingerMs;
        return server.calling + 1 <= cap
                ? left >= 0
                : server.calling == 0 && most < 1 && left >= Math.min(leastMs, burstMs - lingerMs);
    }

    void make(Duration now) {
        QuotaLimiter limit = server.limits.get(0);
        for (Request op : server.hand) {
            if (op.phase == Phase.AT_CALL && !op.answered && mayCall() && limit.allows(now)) {
                server.move(op, Phase.CALLING);
                limit.begins(now);
                creditMs -= lingerMs;
                Duration span = earlier(op.due.minus(now), most < 1 ? millis(creditMs) : op.due);
                span = limit.longest == null ? span : earlier(limit.longest, span);
                server.next.called.add(new Decisions.TimedDecision(op, later(Duration.ofMillis(1), span)));
            }
        }
    }

    void ended(Request op, Duration now, Outcome how, Duration took) {
        creditMs += how == Outcome.OK || how.provesUnrun() ? lingerMs : 0;
        if (how == Outcome.OK) {
            cap = Math.min(most, cap + 1 / cap);
            server.move(op, Phase.RUNNING);
            return;
        }
        if (reached(now.minus(took), cutAt)) {
            // Calls that were out together and fail together say one thing, once.
            cap = Math.max(Math.min(1, most), cap * CALL_CUT);
            cutAt = now;
        }
        // Rule 2: a call that may have had its effect is not made again, but for a retriable operation. Nor
        // is one that was turned away or failed: it has been tried elsewhere, and the tier is crowded.
        server.move(op, Phase.AT_CALL);
        boolean harmless = how == Outcome.UNREACHABLE || (how == Outcome.CUT_OFF && op.tariff.retriable);
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
