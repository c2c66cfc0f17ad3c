package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import merlinlever.Decisions;
import merlinlever.Outcome;
import merlinlever.Settings;
import merlinlever.policy.OverloadController.RejectionReason;
import merlinlever.policy.Request.Phase;

/** How an operation ends: its run is over, it is pushed back or broken off, or its time has passed. */
final class Completions {
    private final ServerState server;
    private final boolean mayHalt;
    private final double servers;
    final long[] pushbacks = new long[RejectionReason.values().length];
    long brokenOff;

    Completions(ServerState server, Settings given) {
        this.server = server;
        mayHalt = !given.text("server.halt", "none").equals("none");
        servers = Math.max(1, given.number("servers", 1));
    }

    /** Its run, or the sharing of another's outcome, has ended. */
    void ended(Request op, Duration now, Outcome how) {
        if (op.phase == Phase.OVER || (how == Outcome.NEVER_BEGUN && op.phase == Phase.HELD)) {
            return;
        }
        if (how == Outcome.STOPPED && !op.answered && op.halting) {
            server.move(op, Phase.HELD);
            op.halting = false;
            return;
        }
        server.mode.progress = now;
        op.end = how;
        if ((how == Outcome.OK || how == Outcome.ERROR) && op.phase == Phase.RUNNING) {
            server.capacity.completed();
            op.tariff.times.add(ms(now.minus(op.startedAt)), op.hintMs);
        }
        if (how == Outcome.OK && op.sharable && op.keptUntil != null) {
            server.repeats.keepFresh(op, now);
        }
        finish(op, now);
    }

    void callerGone(Request op, Duration now) {
        op.answered = true;
        if (op.offCores()) {
            finish(op, now);
        } else if (op.tariff.retriable) {
            halt(op);
        }
    }

    private void finish(Request op, Duration now) {
        if (op.phase != Phase.OVER) {
            server.move(op, Phase.OVER);
            server.repeats.over(op, now);
        }
    }

    void pushBack(Request op, Duration now, RejectionReason why, boolean nowhereElse, Duration stayAway) {
        if (op.answered || op.ran) {
            return;
        }
        pushbacks[why.ordinal()]++;
        op.answered = true;
        server.next.pushedBack.add(new Decisions.Rejection(op, nowhereElse, stayAway));
        finish(op, now);
    }

    void breakOff(Request op, Duration now) {
        if (op.answered) {
            return;
        }
        op.answered = true;
        brokenOff++;
        server.next.brokenOff.add(op);
        if (op.offCores()) {
            finish(op, now);
        }
    }

    void halt(Request op) {
        // Those that share its outcome are owed it still.
        if (mayHalt
                && op.phase == Phase.RUNNING
                && !op.halting
                && server.hand.stream().noneMatch(other -> other.phase == Phase.SHARING && other.original == op)) {
            op.halting = true;
            server.next.halted.add(op);
        }
    }

    /** Whether its time has passed: for any answer, for its start, or for an answer of value. */
    void sweep(Request op, Duration now) {
        if (!op.inHand() || op.answered) {
            return;
        }
        boolean last = server.mode.stops(now.plus(OverloadController.LOOK));
        boolean waits = op.phase == Phase.HELD || op.phase == Phase.FOLLOWING;
        // Rule 1: the answer comes before the client timeout, and before the stop.
        if (last || reached(now, op.due)) {
            if (waits && !op.ran) {
                pushBack(op, now, last ? RejectionReason.LEAVING : RejectionReason.LATE, !last, Duration.ZERO);
            } else {
                breakOff(op, now);
                halt(op);
            }
        } else if (waits && !op.ran) {
            boolean hung = server.mode.hung;
            if (hung || reached(now.plus(op.usualRun()), op.soft)) {
                // Too late for a slow server is not too late for each, by the hint, but for a long dear walk.
                boolean late = reached(now.plus(op.hintMs > 0 ? millis(op.hintMs) : op.usualRun()), op.soft)
                        || (servers > BackpressureSignals.MANY && server.admission.dear());
                Duration longest = server.admission.longestStayAway;
                pushBack(
                        op,
                        now,
                        hung ? RejectionReason.HUNG : RejectionReason.LATE,
                        !hung && late,
                        hung
                                ? longest
                                : earlier(longest, millis(server.held * ms(server.span) / server.capacity.hold())));
            }
        } else if (mayHalt
                && server.held > 0
                && op.phase != Phase.SHARING
                && reached(now, op.soft)
                && op.tariff.lateValue == 0) {
            breakOff(op, now);
            halt(op);
        }
    }
}
