package merlinlever;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Decides, inside one server, what it takes, runs and turns away (docs/design.md says why). An adapter makes
 * one for each life of a server. Each operation read goes to {@link #take}, which returns its handle; what
 * happens later is a call on that. {@link #look} brings the gauges, {@link #leave} the notice to leave. After
 * each batch {@link #settle} returns what was decided and when to look again. Instances share nothing.
 */
public final class Control {

    // The four figures of the design page; q is the waiting over the hold's capacity.
    private static final double W_Q = 0.8;
    private static final double MIN_TH = 0.3;
    private static final double MAX_TH = 0.8;
    private static final double MAX_P = 0.4;
    // Coefficients of the least and the most valued tariff.
    private static final double C_LEAST = 5.0;
    private static final double C_MOST = 0.1;
    // A marked further try has less of its soft limit left than it says, and others were full as well.
    private static final double AGAIN = 4;
    // Reading takes more than this part of an operation's work: each further try costs the others that.
    private static final double DEAR = 0.1;
    // Above this callers hear too little to go on knowing the level, and come back all at once.
    private static final double MOST_LEVEL = 0.6;
    // Part of the survivable crowd and of the memory that is used.
    private static final double CROWD = 0.75;
    private static final double MEMORY = 0.92;
    // Calls in hand a core.
    private static final double CALLS = 4;
    // What is left of the cap on calls after one that did not work.
    private static final double CALL_CUT = 0.8;
    // While something is in hand the module looks this often.
    private static final Duration LOOK = Duration.ofMillis(10);
    private static final Duration IDLE_LOOK = Duration.ofMillis(500);
    // No run has got on for so long and for so many usual runs, more where few run: the work hangs.
    private static final Duration HANG = Duration.ofMillis(1000);
    private static final double HANG_RUNS = 2;
    private static final double HANG_RUNS_ALONE = 6;
    // Part of the difference by which the quickest reading seen is forgotten with each arrival.
    private static final double FORGET = 0.002;
    // Unless stated, no repeat is read later (ms) than this after it came; until then its original is known.
    private static final double LONGEST_UNREAD = 30_000;
    // Completions that the capacity is learned from, at the most, before their weight is halved.
    private static final double ENOUGH = 32;
    // Callers a core from which on idle connections are closed early; servers that make a list long.
    private static final double MANY = 16;
    // What the time to close changes by ten times a second, with a core free and with none.
    private static final double SOONER = 0.94;
    private static final double LATER = 1.02;

    // A share of so many a second is kept in any span of this; on the way to whom it is for it is not quite even.
    private static final Duration SECOND = Duration.ofMillis(1050);

    /** Why an operation was pushed back. */
    public enum Reason { LEAVING, HUNG, MEMORY, HOPELESS, CHANCE, LATE, UNSETTLED }

    /** What the module sees of its server; pushbacks and breaking off are counted from the start. */
    public record Figures(int held, int onCores, int atCalls, double capacity, double avg, double level,
            boolean hung, boolean leaving, double speedShare, List<Long> pushedBack, long brokenOff) {
    }

    private enum Kind { RETRIABLE, FINGERPRINTED, BINDING }

    private enum Phase { HELD, FOLLOWING, RUNNING, AT_CALL, CALLING, SHARING, OVER }

    /** Run times in coarse bins, each half as wide again as the last, halved now and then. */
    private static final class Histogram {
        private final double[] bins = new double[32];
        private double total, mean;

        void add(double ms) {
            bins[(int) Math.min(bins.length - 1, Math.log(Math.max(ms, 1)) / Math.log(1.5))]++;
            if (++total > 60) {
                total /= 2;
                Arrays.setAll(bins, i -> bins[i] / 2);
            }
            mean = IntStream.range(0, 32).mapToDouble(i -> bins[i] * Math.pow(1.5, i + 0.5)).sum() / total;
        }
    }

    /** This server's share of what the whole fleet may do: nothing beyond it, and nothing once its lease is over. */
    private final class Limit {
        private long share;
        private Duration until, longest;
        private boolean perSecond;
        private final ArrayDeque<Duration> begun = new ArrayDeque<>();
        private int inUse;

        boolean allows(Duration now) {
            while (!begun.isEmpty() && reached(now, begun.peek().plus(SECOND))) {
                begun.poll();
            }
            return until == null || !reached(now, until) && (perSecond ? begun.size() : inUse) < share;
        }

        void begins(Duration now) {
            if (until != null && perSecond) {
                begun.add(now);
            }
        }
    }

    /** That an operation is known until then, in the table unless its entry was renewed or struck since. */
    private record Entry(Op op, Duration until) {
    }

    private final class Tariff {
        final Kind kind;
        final int index;
        final Duration softLimit, clientTimeout, window;
        final double stretch, value, lateValue, withoutCall;
        final boolean calls;
        final Histogram runs = new Histogram(), perHint = new Histogram();
        double coefficient = 1;

        Tariff(int index) {
            String at = "tariffs." + index + ".";
            this.index = index;
            softLimit = span(at + "soft-limit", 1000);
            clientTimeout = span(at + "client-timeout", 2000);
            window = span(at + "window", 10000);
            stretch = number(at + "soft-limit-stretch", 0);
            value = number(at + "value", 1);
            lateValue = number(at + "late-value", 0);
            withoutCall = Double.parseDouble(nth("server.value-without-call", index, "0"));
            calls = Boolean.parseBoolean(nth("server.calls-by-tariff", index, "true"));
            kind = switch (given.getOrDefault(at + "kind", "binding")) {
                case "retriable" -> Kind.RETRIABLE;
                case "fingerprinted" -> Kind.FINGERPRINTED;
                default -> Kind.BINDING;
            };
        }
    }

    private final class Op implements Operation {
        final Tariff tariff;
        final Duration arrival, due, soft;
        final double kb, hintMs;
        final boolean sharable, again;
        Phase phase = Phase.HELD;
        boolean answered, ran, halting, calledAgain;
        Ending end;
        Duration startedAt, keptUntil;
        Op original;
        final List<Op> followers = new ArrayList<>(0);

        Op(Tariff tariff, Duration arrival, Duration due, double kb, double hintMs, boolean sharable,
                boolean again) {
            this.tariff = tariff;
            this.arrival = arrival;
            this.due = due;
            this.kb = kb;
            this.hintMs = hintMs;
            this.sharable = sharable;
            this.again = again;
            soft = earlier(arrival.plus(tariff.softLimit).plus(millis(tariff.stretch * hintMs)), due);
        }

        // Its likely run time: by the hint under pressure only, or large ones were refused where is room;
        // else at most half the soft limit, or a machine that was slow would never learn better.
        Duration usualRun() {
            boolean hinted = hintMs > 0 && tariff.perHint.total > 5 && avg >= MIN_TH;
            return hinted ? millis(hintMs * tariff.perHint.mean / 100) : earlier(
                    millis(tariff.runs.mean), tariff.softLimit.dividedBy(2));
        }

        /** Whether it waits in the hold, for its start or for another's outcome. */
        boolean offCores() {
            return phase == Phase.HELD || phase == Phase.FOLLOWING || phase == Phase.SHARING;
        }

        boolean inHand() {
            return phase != Phase.OVER;
        }

        double memory() {
            return ran && phase != Phase.HELD && phase != Phase.SHARING ? kb * runFactor : kb;
        }

        @Override public void ended(Duration now, Ending how) {
            clock(now);
            if (phase == Phase.OVER || how == Ending.NEVER_BEGUN && phase == Phase.HELD) {
                return;
            }
            if (how == Ending.STOPPED && !answered && halting) {
                move(this, Phase.HELD);
                halting = false;
                return;
            }
            progress = now;
            end = how;
            if ((how == Ending.OK || how == Ending.ERROR) && phase == Phase.RUNNING) {
                if (++done > ENOUGH) {
                    done /= 2;
                    worked /= 2;
                }
                tariff.runs.add(ms(now.minus(startedAt)));
                if (hintMs > 0) {
                    tariff.perHint.add(100 * ms(now.minus(startedAt)) / hintMs);
                }
            }
            if (how == Ending.OK && sharable && keptUntil != null) {
                keep(this, now, fresh);
            }
            finish(this, now);
        }

        @Override public void reachedCall(Duration now) {
            clock(now);
            progress = now;
            if (phase == Phase.RUNNING) {
                move(this, Phase.AT_CALL);
            }
        }

        @Override public void callEnded(Duration now, Ending how, Duration took) {
            clock(now);
            if (phase != Phase.CALLING) {
                return;
            }
            if (how == Ending.OK) {
                callCap = Math.min(mostCalls, callCap + 1 / callCap);
            } else if (reached(now.minus(took), cutAt)) {
                // Calls that were out together and fail together say one thing, once.
                callCap = Math.max(Math.min(1, mostCalls), callCap * CALL_CUT);
                cutAt = now;
            }
            if (how == Ending.OK) {
                move(this, Phase.RUNNING);
                return;
            }
            // Rule 2: a call that may have had its effect is not made again, but for a retriable operation.
            // Nor is one that was turned away or failed: the edge node between has tried elsewhere, and a
            // crowded tier is not helped by more calls.
            move(this, Phase.AT_CALL);
            boolean harmless = how == Ending.UNREACHABLE
                    || how == Ending.CUT_OFF && tariff.kind == Kind.RETRIABLE;
            if (harmless && !calledAgain) {
                calledAgain = true;
            } else if (tariff.withoutCall > 0 && !answered) {
                move(this, Phase.RUNNING);
                next.omitted.add(this);
            } else {
                breakOff(this, now);
            }
        }

        @Override public void callerGone(Duration now) {
            clock(now);
            answered = true;
            if (offCores()) {
                finish(this, now);
            } else if (tariff.kind == Kind.RETRIABLE) {
                halt(this);
            }
        }
    }

    private final Map<String, String> given;
    private final SplittableRandom chance;
    private final List<Tariff> tariffs = new ArrayList<>();
    private final int cores;
    private final double memoryKb, runFactor, fingerprintKb;
    private final Duration fresh;
    private final boolean mayHalt;
    private final Duration span;
    private final int runQueueAt;
    private final Duration grace, longestStayAway, longestUnread;
    private final double coldShare, coldMs, idleMs, callers, servers;
    private final String says;

    private Settled next = new Settled();
    private final List<Op> hand = new ArrayList<>();
    private final ArrayDeque<Entry> past = new ArrayDeque<>();
    private final PriorityQueue<Entry> table = new PriorityQueue<>(Comparator.comparing(Entry::until));
    private int held, onCores, atCalls, calling, count, changeSince;
    private final double mostCalls, callsOverMs;
    private double callCap, callLoad;
    private double usedKb, avg, runQueue, done, worked, quickestRead = 1e9;
    private Duration avgAt = Duration.ZERO;
    private Duration clock = Duration.ZERO;
    private double closeIdleMs, saidIdleMs;
    private Duration progress = Duration.ZERO, cutAt = Duration.ZERO;
    private Duration leaveAt, stopAt;
    // Work that is not retriable is begun only if it came from the one on, and before the other.
    private Duration keyedFrom = Duration.ZERO, keyedTo;
    // Of calls, then of the runs of each tariff.
    private final List<Limit> limits = new ArrayList<>();
    private boolean hung;
    private Boolean saidHealthy;
    private double level, saidLevel;
    private final long[] pushbacks = new long[Reason.values().length];
    private long brokenOff;
    private Duration levelAt = Duration.ZERO;

    /** A module for one life of a server: what is stated at start, by name, and the seed of its chance. */
    public Control(Map<String, String> given, long seed) {
        this.given = given;
        chance = new SplittableRandom(seed);
        cores = (int) Math.max(1, number("server.cores", 1));
        // Rule 4: of what all share no more than this server's part; under one, a call now and then.
        mostCalls = given.getOrDefault("server.below", "none").equals("shared")
                ? Math.min(CALLS * cores, number("server.share-of-calls", 1)) : CALLS * cores;
        callsOverMs = Math.max(1, number("server.calls-over", 5000));
        callCap = mostCalls;
        memoryKb = number("server.memory-kb", 1e9);
        runFactor = number("server.run-factor", 4);
        fingerprintKb = number("server.kb-per-fingerprint", 0);
        fresh = span("server.fresh-for", 0);
        mayHalt = !given.getOrDefault("server.halt", "none").equals("none");
        grace = span("rules.drain-grace", 0);
        longestUnread = span("rules.longest-unread", LONGEST_UNREAD);
        longestStayAway = Boolean.parseBoolean(given.get("limits.stay-away"))
                ? span("limits.longest-stay-away", 0) : Duration.ZERO;
        idleMs = number("server.idle", 30_000);
        closeIdleMs = idleMs / 10;
        callers = number("server.callers", 1);
        servers = Math.max(1, number("servers", 1));
        coldShare = Boolean.parseBoolean(given.get("server.cold")) ? number("rules.cold-share", 0.2) : 1;
        coldMs = Math.max(1, number("rules.cold", 1));
        says = given.getOrDefault("server.say", "none");
        runQueueAt = List.of(given.getOrDefault("server.gauges", "").split(",")).indexOf("run-queue");
        limits.add(new Limit());
        for (int i = 0; given.containsKey("tariffs." + i + ".name"); i++) {
            tariffs.add(new Tariff(i));
            limits.add(new Limit());
        }
        span = tariffs.stream().map(t -> t.softLimit).min(Duration::compareTo).orElse(Duration.ofSeconds(1));
        double least = tariffs.stream().mapToDouble(t -> t.value).min().orElse(1);
        double most = tariffs.stream().mapToDouble(t -> t.value).max().orElse(1);
        for (Tariff t : tariffs) {
            double rank = most > least ? Math.log(t.value / least) / Math.log(most / least) : 0.5;
            t.coefficient = C_LEAST * Math.pow(C_MOST / C_LEAST, rank);
        }
    }

    // ---- what is stated at start

    private double number(String name, double absent) {
        try {
            return Double.parseDouble(given.getOrDefault(name, "" + absent));
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    private Duration span(String name, double absentMs) {
        return millis(number(name, absentMs));
    }

    private String nth(String name, int index, String absent) {
        String[] row = given.getOrDefault(name, "").split(",");
        return index < row.length && !row[index].isEmpty() ? row[index] : absent;
    }

    private static Duration millis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    private static double ms(Duration span) {
        return span.toNanos() / 1e6;
    }

    private static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static boolean reached(Duration now, Duration point) {
        return now.compareTo(point) >= 0;
    }

    // ---- what is measured

    private void clock(Duration now) {
        double passed = ms(now.minus(clock));
        if (passed > 0) {
            worked += passed * Math.min(onCores, cores);
            double fade = Math.exp(-passed / callsOverMs);
            callLoad = fade * callLoad + (1 - fade) * calling;
            clock = now;
        }
    }

    /**
     * The hold's capacity: the last completions over the busy time that they took, for one soft-limit span of
     * all cores, or a quiet server would take its few arrivals for all that it can do; never under the core
     * count. They reach further back than a span where fewer than half of ENOUGH end in one, as on two cores.
     */
    private double capacity() {
        return Math.max(cores, done < 1 ? 0 : done * cores * ms(span) / worked);
    }

    /** The part of its full speed that the server has at the least. */
    private double speedShare() {
        return Math.min(1, coldShare + (1 - coldShare) * ms(clock) / coldMs);
    }

    private boolean mayCall() {
        return calling + 1 <= callCap || calling == 0 && (mostCalls >= 1 || callLoad < 0.5 * mostCalls);
    }

    private double survivable() {
        return Math.max(cores, CROWD * cores * (1 + (number("rules.crowd-factor", 2) - 1) * speedShare()));
    }

    // ---- changes of phase

    private void move(Op op, Phase to) {
        tally(op, -1);
        // The gauge counts what has left the cores since it was read, and not what has come back from a call.
        changeSince += (to == Phase.RUNNING ? 1 : 0) - (op.phase == Phase.RUNNING ? 1 : 0);
        op.phase = to;
        tally(op, 1);
    }

    private void tally(Op op, int sign) {
        usedKb += sign * (op.phase == Phase.OVER ? 0 : op.memory());
        switch (op.phase) {
            case HELD -> held += sign;
            case RUNNING -> onCores += sign;
            case AT_CALL -> atCalls += sign;
            case CALLING -> calling += sign;
            default -> { }
        }
        limits.get(0).inUse = calling;
        if (op.phase == Phase.RUNNING || op.phase == Phase.AT_CALL || op.phase == Phase.CALLING) {
            limits.get(op.tariff.index + 1).inUse += sign;
        }
    }

    private void finish(Op op, Duration now) {
        if (op.phase == Phase.OVER) {
            return;
        }
        move(op, Phase.OVER);
        // Nothing names again what never ran; kept, a flood of pushbacks would fill the process's memory.
        if (op.ran) {
            past.add(new Entry(op, now.plus(op.tariff.window).plus(longestUnread)));
        } else {
            next.released.add(op);
        }
        promote(op, now);
        if ((!op.ran || op.sharable && op.end != Ending.OK) && strike(op)) {
            next.forgotten.add(op);
        }
    }

    /**
     * The operation has been started, and those that wait for its outcome share it; or it ended unrun, and
     * the first of them takes its place and its entry in the table.
     */
    private void promote(Op op, Duration now) {
        Op heir = null;
        for (Op follower : op.followers) {
            if (follower.phase != Phase.FOLLOWING) {
                continue;
            }
            if (op.ran) {
                share(follower, op);
            } else if (heir == null) {
                heir = follower;
                heir.original = null;
                move(heir, Phase.HELD);
                strike(op);
                if (roomFor(heir)) {
                    keepFor(heir, now);
                } else {
                    pushBack(heir, now, Reason.MEMORY, false, Duration.ZERO);
                    heir = null;
                }
            } else {
                follower.original = heir;
                heir.followers.add(follower);
            }
        }
        op.followers.clear();
    }

    private void share(Op op, Op original) {
        op.original = original;
        move(op, Phase.SHARING);
        next.shared.add(op);
    }

    private void keep(Op op, Duration now, Duration length) {
        if (op.keptUntil == null) {
            usedKb += fingerprintKb;
        }
        op.keptUntil = now.plus(length);
        table.add(new Entry(op, op.keptUntil));
        next.kept.add(new Settled.Timed(op, length));
    }

    private void keepFor(Op op, Duration now) {
        if (op.tariff.kind == Kind.FINGERPRINTED) {
            keep(op, now, op.tariff.window);
        } else if (op.sharable) {
            keep(op, now, op.due.minus(now).plus(fresh));
        }
    }

    private boolean strike(Op op) {
        boolean kept = op.keptUntil != null;
        usedKb -= kept ? fingerprintKb : 0;
        op.keptUntil = null;
        return kept;
    }

    /** Rule 4: whether there is memory for the operation and for what has to be remembered of it. */
    private boolean roomFor(Op op) {
        return fits(op.tariff.kind == Kind.FINGERPRINTED || op.sharable ? fingerprintKb : 0);
    }

    private boolean fits(double moreKb) {
        return usedKb + moreKb <= MEMORY * memoryKb;
    }

    private void pushBack(Op op, Duration now, Reason why, boolean nowhereElse, Duration stayAway) {
        if (op.answered || op.ran) {
            return;
        }
        pushbacks[why.ordinal()]++;
        op.answered = true;
        next.pushedBack.add(new Settled.Pushback(op, nowhereElse, stayAway));
        finish(op, now);
    }

    private void breakOff(Op op, Duration now) {
        if (op.answered) {
            return;
        }
        op.answered = true;
        brokenOff++;
        next.brokenOff.add(op);
        if (op.offCores()) {
            finish(op, now);
        }
    }

    // ---- arrivals

    /**
     * Takes an operation that has been read and owes it one final answer from here on.
     *
     * @param clientTimeout when its caller gives up, or null where that is not told
     * @param work the hint of its cost, or null
     * @param again whether it is marked as a further try
     * @param sharable whether it is a read that names its subject
     * @param repeats the kept operation that it repeats, or null
     */
    public Operation take(Duration now, int tariff, Duration unread, Duration clientTimeout, double kb,
            Duration work, boolean again, boolean sharable, Operation repeats) {
        clock(now);
        Tariff t = tariffs.get(tariff);
        Duration arrival = now.minus(unread);
        Duration due = later(now, clientTimeout != null ? clientTimeout : arrival.plus(t.clientTimeout));
        Op op = new Op(t, arrival, due, kb, work == null ? 0 : ms(work),
                sharable && t.kind == Kind.RETRIABLE && !fresh.isZero(), again);
        if (hand.isEmpty()) {
            progress = now;
        }
        hand.add(op);
        tally(op, 1);
        if (repeats != null && joins(op, repeats, now)) {
            return op;
        }
        arrive(op, now);
        return op;
    }

    /** Rule 2: a repeat of what may have run shares its outcome or is broken off; it is never run itself. */
    private boolean joins(Op op, Operation repeats, Duration now) {
        Op original = repeats instanceof Op ? (Op) repeats : null;
        while (original != null && original.phase == Phase.FOLLOWING) {
            original = original.original;
        }
        if (original == null) {
            if (op.tariff.kind != Kind.RETRIABLE) {
                breakOff(op, now);
            }
            return op.answered;
        }
        if (original.phase == Phase.HELD && !original.ran) {
            // Rule 3: nor may what came after the grace take the place of an original that ends unrun.
            if (!fits(0) || pastGrace(op)) {
                pushBack(op, now, pastGrace(op) ? Reason.LEAVING : Reason.MEMORY, false, Duration.ZERO);
            } else {
                op.original = original;
                original.followers.add(op);
                move(op, Phase.FOLLOWING);
            }
            return true;
        }
        boolean usable = original.inHand() ? !original.halting : original.end == Ending.OK
                || original.end == Ending.ERROR && op.tariff.kind != Kind.RETRIABLE;
        if (usable && fits(0)) {
            share(op, original);
        } else if (op.tariff.kind != Kind.RETRIABLE && original.ran) {
            breakOff(op, now);
        } else {
            return false;
        }
        return true;
    }

    private boolean dear() {
        return quickestRead > DEAR * cores * ms(span) / capacity();
    }

    /** Rule 2: whether a life before this one may have begun it, or the next would not know that this one did. */
    private boolean unsettled(Op op, Duration now) {
        return op.tariff.kind != Kind.RETRIABLE
                && (!reached(op.arrival, keyedFrom) || keyedTo != null && reached(now, keyedTo));
    }

    private boolean pastGrace(Op op) {
        return leaveAt != null && reached(op.arrival, leaveAt.plus(grace));
    }

    private void arrive(Op op, Duration now) {
        // What waits unread waits too: its time beyond the quickest reading counts as that part of the span.
        double unread = ms(now.minus(op.arrival));
        quickestRead = Math.min(unread, quickestRead + FORGET * (unread - quickestRead));
        // Neither the arrival itself nor what free cores take at once is waiting: on two cores either alone
        // was over min_th, and an idle server refused its next arrival.
        double waiting = Math.max(0, held - 1 - Math.max(0, cores - onCores)) / capacity();
        double q = waiting + (unread - quickestRead) / ms(span);
        avgAt = now;
        avg = (1 - W_Q) * avg + W_Q * q;
        Tariff t = op.tariff;
        // Rule 3: what came after the grace is not run; near the stop nothing more is begun.
        Duration ends = now.plus(op.usualRun());
        boolean leaving = pastGrace(op) || stopAt != null && reached(ends.plus(LOOK), stopAt);
        if (leaving || hung || !roomFor(op)) {
            Reason why = leaving ? Reason.LEAVING : hung ? Reason.HUNG : Reason.MEMORY;
            pushBack(op, now, why, false, leaving || hung ? longestStayAway : Duration.ZERO);
            return;
        }
        if (unsettled(op, now)) {
            Duration wait = later(Duration.ZERO, keyedFrom.minus(now));
            pushBack(op, now, Reason.UNSETTLED, false, earlier(longestStayAway, wait));
            return;
        }
        // Work that cannot make its soft limit is waste.
        if (onCores >= cores && reached(ends.plus(millis(waiting * ms(span))), op.soft)) {
            pushBack(op, now, Reason.HOPELESS, op.again || dear(), longestStayAway);
        } else if (refuses(op)) {
            // RED refuses only while the hold is long, as it is on its neighbours under the same load: a walk
            // costs each of them a read and, where callers are many, a new connection, and is refused again.
            count = 0;
            pushBack(op, now, Reason.CHANCE, true, stayAway());
        } else {
            count++;
            keepFor(op, now);
        }
    }

    /** How far an occupancy is from min_th (0) to max_th (1). */
    private static double excess(double occupancy) {
        return (occupancy - MIN_TH) / (MAX_TH - MIN_TH);
    }

    /** The class-weighted RED of the design page. */
    private boolean refuses(Op op) {
        if (avg < MIN_TH) {
            return false;
        }
        double pb = excess(avg) * MAX_P;
        double coefficient = op.tariff.coefficient * (op.again ? AGAIN : 1);
        double pa = avg > MAX_TH || count * pb >= 1 ? 1 : coefficient * pb / (1 - count * pb);
        return chance.nextDouble() < pa;
    }

    /**
     * How long a caller refused by chance should stay away: longer the fuller the hold. The longest advice on
     * each refusal shut callers out of nearly every server at once while the servers had room.
     */
    private Duration stayAway() {
        return millis(ms(longestStayAway) * Math.min(1, excess(avg)));
    }

    /** The notice to leave: the process is stopped at that time. */
    public void leave(Duration now, Duration stop) {
        clock(now);
        leaveAt = now;
        stopAt = stop;
        next.log.add(String.format(Locale.ROOT, "leaving: stop in %.0f ms, held=%d run=%d",
                ms(stop.minus(now)), held, onCores + atCalls + calling));
    }

    /** After a return: binding and fingerprinted work is begun if it came from then on, and before the other moment. */
    public void keyed(Duration from, Duration to) {
        keyedFrom = from;
        keyedTo = to;
    }

    /** What a life before or others learned of the capacity, to begin with: worth so many completions. */
    public void guess(double capacity, double completions) {
        if (done < 1 && capacity > 0) {
            done = completions;
            worked = completions * cores * ms(span) / capacity;
        }
    }

    /**
     * This server's share of a limit of the whole fleet, until its lease is over: of calls (-1) or of the runs of a tariff,
     * in any second or at once. A call is given up after {@code longest}, as others have the share by then.
     */
    public void share(int tariff, long share, boolean perSecond, Duration until, Duration longest) {
        Limit limit = limits.get(tariff + 1);
        limit.longest = longest;
        limit.share = share;
        limit.perSecond = perSecond;
        limit.until = until;
    }

    /** What is out of such a limit now, and what would be if it were larger: begun of late or now, and waiting. */
    public long[] demand(Duration now, int tariff) {
        Limit limit = limits.get(tariff + 1);
        limit.allows(now);
        long waits = tariff < 0 ? atCalls : hand.stream().filter(op -> op.phase == Phase.HELD && op.tariff.index == tariff).count();
        return new long[] {limit.inUse, (limit.perSecond ? limit.begun.size() : limit.inUse) + waits};
    }

    /** The gauges, in the order that was stated at start. */
    public void look(Duration now, double[] gauges) {
        clock(now);
        if (runQueueAt >= 0 && runQueueAt < gauges.length) {
            runQueue = gauges[runQueueAt];
            changeSince = 0;
        }
    }

    /** For whoever manages the server: a look at the figures, which changes nothing. */
    public Figures figures() {
        return new Figures(held, onCores, atCalls + calling, capacity(), avg, level, hung, leaveAt != null,
                speedShare(), Arrays.stream(pushbacks).boxed().toList(), brokenOff);
    }

    // ---- after each batch

    /** Decides all that is open and returns it with what was decided since the last time. */
    public Settled settle(Duration now) {
        clock(now);
        watch(now);
        for (int i = 0; i < hand.size(); i++) {
            sweep(hand.get(i), now);
        }
        hand.removeIf(op -> !op.inHand());
        next.shared.removeIf(op -> ((Op) op).phase != Phase.SHARING);
        expire(now);
        for (Op op : hand) {
            if (op.phase == Phase.AT_CALL && !op.answered && mayCall() && limits.get(0).allows(now)) {
                move(op, Phase.CALLING);
                limits.get(0).begins(now);
                Duration longest = limits.get(0).longest;
                Duration span = later(Duration.ofMillis(1), op.due.minus(now));
                next.called.add(new Settled.Timed(op, longest == null ? span : earlier(longest, span)));
            }
        }
        start(now);
        say(now);
        Settled settled = next;
        next = new Settled();
        settled.nextLook = now.plus(hand.isEmpty() ? IDLE_LOOK : LOOK);
        if (stopAt != null && now.compareTo(stopAt) < 0) {
            settled.nextLook = earlier(settled.nextLook, later(stopAt.minus(LOOK), now.plusMillis(1)));
        }
        return settled;
    }

    /** Changes of mode: whether the work hangs. */
    private void watch(Duration now) {
        // One long run is no hang: the fewer run, the longer they may be silent; cold cores are slow as told.
        double usual = tariffs.stream().mapToDouble(t -> t.runs.mean).max().orElse(0)
                * (HANG_RUNS + HANG_RUNS_ALONE / Math.max(1, onCores));
        Duration patience = later(millis(ms(HANG) / speedShare()), millis(usual));
        boolean stuck = onCores > 0 && reached(now, progress.plus(patience));
        if (stuck != hung) {
            hung = stuck;
            next.log.add(String.format(Locale.ROOT, "%s: run=%d held=%d silent=%.0f ms",
                    hung ? "hangs" : "works again", onCores, held, ms(now.minus(progress))));
        }
        boolean healthy = !hung && leaveAt == null;
        if (saidHealthy == null || healthy != saidHealthy) {
            saidHealthy = healthy;
            next.healthy = healthy;
        }
    }

    private void sweep(Op op, Duration now) {
        if (!op.inHand() || op.answered) {
            return;
        }
        boolean last = stopAt != null && reached(now.plus(LOOK).plus(LOOK), stopAt);
        boolean waits = op.phase == Phase.HELD || op.phase == Phase.FOLLOWING;
        // Rule 1: the answer comes before the client timeout, and before the stop.
        if (last || reached(now, op.due)) {
            if (waits && !op.ran) {
                pushBack(op, now, last ? Reason.LEAVING : Reason.LATE, !last, Duration.ZERO);
            } else {
                breakOff(op, now);
                halt(op);
            }
        } else if (waits && !op.ran) {
            if (hung || reached(now.plus(op.usualRun()), op.soft)) {
                // Too late for a slow server is not too late for each, by the hint, but for a long dear walk.
                boolean late = reached(now.plus(op.hintMs > 0 ? millis(op.hintMs) : op.usualRun()), op.soft)
                        || servers > MANY && dear();
                pushBack(op, now, hung ? Reason.HUNG : Reason.LATE, !hung && late, hung ? longestStayAway
                        : earlier(longestStayAway, millis(held * ms(span) / capacity())));
            }
        } else if (mayHalt && held > 0 && op.phase != Phase.SHARING && reached(now, op.soft)
                && op.tariff.lateValue == 0) {
            breakOff(op, now);
            halt(op);
        }
    }

    private void halt(Op op) {
        if (mayHalt && op.phase == Phase.RUNNING && !op.halting) {
            op.halting = true;
            next.halted.add(op);
        }
    }

    private void expire(Duration now) {
        while (!table.isEmpty() && reached(now, table.peek().until)) {
            Entry entry = table.poll();
            if (entry.until.equals(entry.op.keptUntil)) {
                strike(entry.op);
            }
        }
        while (!past.isEmpty() && reached(now, past.peek().until)) {
            next.released.add(past.poll().op);
        }
    }

    /** Oldest first, by the run-queue gauge and what has changed since it, under the ceiling of the crowd. */
    private void start(Duration now) {
        double most = survivable();
        for (Op op : hand) {
            if (op.phase != Phase.HELD || op.answered || op.ran && op.tariff.kind != Kind.RETRIABLE
                    || keyedTo != null && op.tariff.kind != Kind.RETRIABLE && reached(now, keyedTo)) {
                continue;
            }
            boolean marked = onCores >= 1 && runQueue + changeSince >= cores;
            boolean crowded = onCores + atCalls + calling >= most || !fits(op.kb * (runFactor - 1));
            if (marked || crowded || hung) {
                return;
            }
            Limit runs = limits.get(op.tariff.index + 1);
            if (op.tariff.calls && atCalls + calling >= callCap || !runs.allows(now)) {
                continue;
            }
            runs.begins(now);
            if (onCores == 0) {
                progress = now;
            }
            op.ran = true;
            op.startedAt = now;
            move(op, Phase.RUNNING);
            next.started.add(op);
            promote(op, now);
        }
    }

    /** The free value sent back, where there is one. */
    private void say(Duration now) {
        if (!reached(now, levelAt)) {
            return;
        }
        levelAt = now.plusMillis(100);
        double pressure = reached(now, avgAt.plusMillis(300)) ? held / capacity() : avg;
        // Where callers are many, idle connections fill the table, take capacity and leave no room for the
        // next caller; each new one costs work, and a full table turns callers away at no cost. So they are
        // closed the sooner the more often a core is free, and kept while the cores are full.
        if (callers > MANY * cores) {
            double wanted = closeIdleMs * (runQueue < cores ? SOONER : LATER);
            closeIdleMs = Math.max(idleMs / 30, Math.min(idleMs, wanted));
            if (Math.abs(closeIdleMs / saidIdleMs - 1) > 0.1) {
                saidIdleMs = closeIdleMs;
                next.closeIdle = millis(closeIdleMs);
            }
        }
        if (says.equals("none")) {
            return;
        }
        level += pressure > MIN_TH ? 0.04 * Math.min(1, excess(pressure)) : -0.01;
        level = Math.max(0, Math.min(MOST_LEVEL, level));
        if (Math.abs(level - saidLevel) >= 0.02 || level == 0 && saidLevel > 0) {
            saidLevel = level;
            next.level = switch (says) {
                case "level" -> level;
                case "weight" -> 1 - level;
                case "credit" -> 2 * (1 - level) * (cores + capacity()) / callers;
                default -> Double.NaN;
            };
        }
    }
}
