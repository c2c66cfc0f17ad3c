package merlinlever.policy;

import static merlinlever.Durations.reached;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import merlinlever.Decisions;
import merlinlever.Outcome;
import merlinlever.RequestHandle;
import merlinlever.Settings;
import merlinlever.policy.OverloadController.RejectionReason;
import merlinlever.policy.Request.Phase;

/** Which operations are kept in the table, for how long, and what becomes of one that repeats another. */
final class DuplicateRequests {
    // Unless stated, no repeat is read later (ms) than this after it came; until then its original is known.
    private static final double LONGEST_UNREAD = 30_000;

    /** That an operation is known until then, in the table unless its entry was renewed or struck since. */
    private record Expiry(Request op, Duration until) {}

    private final ServerState server;
    private final double fingerprintKb;
    private final Duration fresh, longestUnread;
    private final PriorityQueue<Expiry> past = new PriorityQueue<>(Comparator.comparing(Expiry::until));
    private final PriorityQueue<Expiry> table = new PriorityQueue<>(Comparator.comparing(Expiry::until));

    DuplicateRequests(ServerState server, Settings given) {
        this.server = server;
        fingerprintKb = given.number("server.kb-per-fingerprint", 0);
        fresh = given.span("server.fresh-for", 0);
        longestUnread = given.span("rules.longest-unread", LONGEST_UNREAD);
    }

    boolean sharable(PriorityClass tariff) {
        return tariff.retriable && !fresh.isZero();
    }

    /** Rule 2: a repeat of what may have run shares its outcome or is broken off; it is never run itself. */
    boolean joins(Request op, RequestHandle repeats, Duration now) {
        Request original = repeats instanceof Request request ? request : null;
        // Who ended unrun in this batch is still named; another may have its place.
        while (original != null
                && original.original != null
                && (original.phase == Phase.FOLLOWING || (original.phase == Phase.OVER && !original.ran))) {
            original = original.original;
        }
        if (original == null) {
            if (!op.tariff.retriable) {
                server.endings.breakOff(op, now);
            }
            return op.answered;
        }
        if (original.phase == Phase.HELD && !original.ran) {
            // Rule 3: nor may what came after the grace take the place of an original that ends unrun.
            boolean late = server.mode.pastGrace(op);
            if (late || !server.capacity.fits(0)) {
                server.endings.pushBack(
                        op, now, late ? RejectionReason.LEAVING : RejectionReason.MEMORY, false, Duration.ZERO);
            } else {
                op.original = original;
                original.followers.add(op);
                server.move(op, Phase.FOLLOWING);
            }
            return true;
        }
        boolean usable = original.inHand()
                ? !original.halting
                : original.end == Outcome.OK || (original.end == Outcome.ERROR && !op.tariff.retriable);
        if (usable && server.capacity.fits(0)) {
            share(op, original);
        } else if (!op.tariff.retriable && original.ran) {
            server.endings.breakOff(op, now);
        } else {
            original.original = op;
            return false;
        }
        return true;
    }

    /**
     * The operation has been started, and those that wait for its outcome share it; or it ended unrun, and
     * the first of them takes its place and its entry in the table.
     */
    void promote(Request op, Duration now) {
        Request heir = null;
        for (Request follower : op.followers) {
            if (follower.phase != Phase.FOLLOWING) {
                continue;
            }
            if (op.ran) {
                share(follower, op);
            } else if (heir == null) {
                heir = follower;
                heir.original = null;
                op.original = heir;
                server.move(heir, Phase.HELD);
                strike(op);
                if (roomFor(heir)) {
                    keepFor(heir, now);
                } else {
                    server.endings.pushBack(heir, now, RejectionReason.MEMORY, false, Duration.ZERO);
                    heir = null;
                }
            } else {
                follower.original = heir;
                heir.followers.add(follower);
            }
        }
        op.followers.clear();
    }

    private void share(Request op, Request original) {
        op.original = original;
        server.move(op, Phase.SHARING);
        server.next.shared.add(op);
    }

    /** The operation has just ended: what is known of it from here on. */
    void over(Request op, Duration now) {
        // Nothing names again what never ran; kept, a flood of pushbacks would fill the process's memory.
        if (op.ran) {
            past.add(new Expiry(op, now.plus(op.tariff.window).plus(longestUnread)));
        } else {
            server.next.released.add(op);
        }
        promote(op, now);
        if ((!op.ran || (op.sharable && op.end != Outcome.OK)) && strike(op)) {
            server.next.forgotten.add(op);
        }
    }

    /** Rule 4: whether there is memory for the operation and for what has to be remembered of it. */
    boolean roomFor(Request op) {
        return server.capacity.fits(op.tariff.fingerprinted || op.sharable ? fingerprintKb : 0);
    }

    void keepFor(Request op, Duration now) {
        if (op.tariff.fingerprinted) {
            keep(op, now, op.tariff.window);
        } else if (op.sharable) {
            keep(op, now, op.due.minus(now).plus(fresh));
        }
    }

    void keepFresh(Request op, Duration now) {
        keep(op, now, fresh);
    }

    private void keep(Request op, Duration now, Duration length) {
        if (op.keptUntil == null) {
            server.usedKb += fingerprintKb;
        }
        op.keptUntil = now.plus(length);
        table.add(new Expiry(op, op.keptUntil));
        server.next.kept.add(new Decisions.TimedDecision(op, length));
    }

    private boolean strike(Request op) {
        boolean kept = op.keptUntil != null;
        server.usedKb -= kept ? fingerprintKb : 0;
        op.keptUntil = null;
        return kept;
    }

    void expire(Duration now) {
        while (!table.isEmpty() && reached(now, table.peek().until)) {
            Expiry entry = table.poll();
            if (entry.until.equals(entry.op.keptUntil)) {
                strike(entry.op);
            }
        }
        while (!past.isEmpty() && reached(now, past.peek().until)) {
            server.next.released.add(past.poll().op);
        }
    }
}
