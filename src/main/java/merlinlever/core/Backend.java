package merlinlever.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.Ending;
import merlinlever.Operation;
import merlinlever.policy.Control;

/**
 * The real backend without its sockets: follows each operation from its reading to its one answer, through the agent
 * that runs it and the calls that its run makes. It decides nothing; what is decided comes out of the module.
 */
public final class Backend implements Port<Work> {

    /** What an edge node sends with an operation. */
    public record Asked(long id, String name, int tariff, String tariffName, Duration arrival, Duration clientTimeout, double kb,
            Duration work, boolean again, String token, String subject, byte[] body) {
    }

    /** The most fingerprints, with bodies and results, that the memory of this process is planned for. */
    private static final int MOST_KEPT = 4000;
    /** A reply that left so shortly before its link was last heard may not have got through. */
    private static final Duration IN_TRANSIT = Duration.ofMillis(20);

    private final Map<String, String> given;
    private final long seed;
    private final Outside outside;
    private final Map<String, Integer> tariffs;
    private final Map<Long, Work> byId = new LinkedHashMap<>();
    private final Repeats repeats = new Repeats();
    private final List<Consumer<Boolean>> checks = new ArrayList<>();
    private final boolean subjects;
    private final int runQueueAt;
    private Conductor<Work> conductor;
    private Duration now = Duration.ZERO;
    private Duration doubtfulFrom, linkBackAt;
    private boolean touched, healthy, leaving, exercising;
    private double level = Double.NaN;
    /** What the module is told of the return of this process, once there is one; null where nothing is. */
    private Duration keyedFrom, keyedTo;
    private double guessed, completions;
    /** The limits of the whole fleet that it has a share of, by tariff, -1 for calls; whether they are a second's. */
    private final Map<Integer, Boolean> limited = new TreeMap<>();
    private int inHand;
    /** Runs that were sent onto the cores since the agent was last asked for its gauges. */
    private int ontoCores;

    public Backend(Map<String, String> given, long seed, Outside outside) {
        this.given = new HashMap<>(given);
        this.seed = seed;
        this.outside = outside;
        tariffs = Conductor.indices(given, "tariffs");
        runQueueAt = List.of(given.getOrDefault("server.gauges", "").split(",")).indexOf("run-queue");
        subjects = Stated.number(given, "server.fresh-for", 0) > 0;
        // A limit of this process, in the terms that the module knows: it turns away what it cannot remember.
        double leastKb = Stated.number(given, "server.memory-kb", 100_000) / MOST_KEPT;
        this.given.put("server.kb-per-fingerprint",
                "" + Math.max(leastKb, Stated.number(given, "server.kb-per-fingerprint", 0)));
        // What is stated badly is to be found now, and not when the agent is up.
        new Control(this.given, seed);
    }

    // ---- what others ask

    /** The index of the tariff, or -1. */
    public int tariff(String name) {
        return tariffs.getOrDefault(name, -1);
    }

    /** The value to send with every answer, or NaN. */
    public double level() {
        return level;
    }

    public boolean leaving() {
        return leaving;
    }

    /** Operations that are read and not yet answered. */
    public int inHand() {
        return inHand;
    }

    /** Operations that something may still name. */
    int known() {
        return byId.size();
    }

    /** What the module sees of this server, or null before the agent is up. */
    public Control.Figures figures() {
        return conductor == null ? null : conductor.control().figures();
    }

    /** In the watch mode, by kind, how often the watched settings would have decided otherwise. */
    public Map<String, Long> watched() {
        return conductor == null ? Map.of() : conductor.watched();
    }

    /** Whether the agent is up and the module calls this server healthy. */
    public boolean healthy() {
        return healthy;
    }

    /** Hears whether work gets done: one exercise at a time serves all that ask meanwhile. */
    public void checkDeeply(Consumer<Boolean> asker) {
        if (!healthy()) {
            asker.accept(false);
            return;
        }
        checks.add(asker);
        if (!exercising) {
            exercising = true;
            outside.exercise();
        }
    }

    // ---- what happens

    /** The agent is up; times count from its start. */
    public void started(Duration now, boolean cold) {
        if (leaving) {
            return;
        }
        this.now = now;
        given.put("server.cold", "" + cold);
        conductor = new Conductor<>(given, seed, this);
        conductor.control().guess(guessed, completions);
        // Nothing of what is shared with others before it is told its share.
        limited.forEach((tariff, perSecond) -> conductor.control().share(tariff, 0, perSecond, now, null));
        if (keyedFrom != null) {
            conductor.control().keyed(keyedFrom, keyedTo);
        }
        touched = true;
    }

    /** See {@link Control#keyed}; told again whenever it changes. */
    public void keyed(Duration from, Duration to) {
        keyedFrom = from;
        keyedTo = to;
        if (conductor != null) {
            conductor.control().keyed(from, to);
        }
    }

    /** See {@link Control#share}. */
    public void share(int tariff, long share, boolean perSecond, Duration until, Duration longest) {
        limited.put(tariff, perSecond);
        if (conductor != null) {
            conductor.control().share(tariff, share, perSecond, until, longest);
        }
    }

    /** See {@link Control#demand}. */
    public long[] demand(Duration now, int tariff) {
        return conductor == null ? new long[2] : conductor.control().demand(now, tariff);
    }

    /** See {@link Control#guess}. */
    public void guess(double capacity, double of) {
        guessed = capacity;
        completions = of;
        if (conductor != null) {
            conductor.control().guess(capacity, of);
        }
    }

    public boolean started() {
        return conductor != null;
    }

    /** An operation has been read. Returns null where it was answered on the spot. */
    public Work arrived(Duration now, Asked asked, Caller caller) {
        if (conductor == null) {
            caller.pushedBack(false, Duration.ZERO);
            return null;
        }
        if (byId.containsKey(asked.id())) {
            caller.brokenOff();
            return null;
        }
        touch(now);
        String mark = asked.token() != null ? "token " + asked.token()
                : subjects && asked.subject() != null ? asked.tariff() + " " + asked.subject() : null;
        Work work = new Work(asked.id(), asked.name(), asked.tariff(), asked.tariffName(), asked.arrival(), mark,
                asked.body(), caller);
        byId.put(work.id, work);
        inHand++;
        work.repeats = mark == null ? null : repeats.findOrEnter(work);
        Duration unread = now.minus(asked.arrival());
        // A mark that stands for another body is not known: the module breaks such an operation off.
        Operation original = work.repeats == null ? null
                : asked.token() == null || work.repeats.sameAs(work) ? work.repeats.handle : Conductor.UNKNOWN;
        work.handle = conductor.know(conductor.control().take(now, asked.tariff(),
                unread.isNegative() ? Duration.ZERO : unread, asked.clientTimeout(), asked.kb(), asked.work(), asked.again(),
                asked.subject() != null, original), work);
        return work;
    }

    public void callerGone(Duration now, Work work) {
        if (work.answered) {
            return;
        }
        touch(now);
        over(work);
        work.handle.callerGone(now);
        giveUp(work);
    }

    /** A run has ended, with a result if it was satisfied. */
    public void ended(Duration now, long id, Ending how, byte[] result) {
        Work work = byId.get(id);
        if (work == null || !work.launched || work.end != null) {
            return;
        }
        touch(now);
        if (how == Ending.STOPPED && work.halted && !work.answered) {
            work.launched = false;
            work.halted = false;
            work.handle.ended(now, how);
            return;
        }
        work.end = how;
        work.result = how == Ending.OK ? result : null;
        work.reply = null;
        work.callBody = null;
        giveUp(work);
        answer(work, how, result);
        work.handle.ended(now, how);
        for (Work sharer : work.sharers) {
            endAs(sharer, work);
        }
        work.sharers = List.of();
        if (work.mark == null || repeats.holder(work.mark) != work) {
            work.result = null;
            work.body = null;
        }
    }

    /** A run waits for a call. */
    public void needsCall(Duration now, long id, byte[] body) {
        Work work = byId.get(id);
        if (work != null && work.launched && work.end == null) {
            touch(now);
            work.callBody = body;
            work.reply = null;
            work.handle.reachedCall(now);
        }
    }

    public void callEnded(Duration now, long id, Ending how, byte[] reply) {
        Work work = byId.get(id);
        if (work == null || !work.calling) {
            return;
        }
        touch(now);
        work.calling = false;
        if (how == Ending.OK) {
            work.callBody = null;
            work.reply = reply;
            work.repliedAt = now;
            ontoCores++;
            outside.deliver(work, reply);
        }
        work.handle.callEnded(now, how, now.minus(work.calledAt));
    }

    public void gauges(Duration now, double[] gauges) {
        if (conductor == null) {
            return;
        }
        touch(now);
        // The agent reads its commands in order: what was sent after the question is not in the answer.
        if (runQueueAt >= 0 && runQueueAt < gauges.length) {
            gauges[runQueueAt] += ontoCores;
        }
        conductor.control().look(now, gauges);
    }

    public void exercised(boolean good) {
        exercising = false;
        List<Consumer<Boolean>> askers = List.copyOf(checks);
        checks.clear();
        askers.forEach(asker -> asker.accept(good && healthy()));
    }

    public void alarmed(Duration now) {
        touch(now);
        conductor.alarmed();
        if (outside.sample()) {
            ontoCores = 0;
        }
    }

    /** The notice to leave. */
    public void leave(Duration now, Duration stop) {
        leaving = true;
        if (conductor != null) {
            touch(now);
            conductor.control().leave(now, stop);
        }
    }

    /** The link to the agent is lost: runs go on, what was sent since it was last heard may not have got there. */
    public void linkLost(Duration lastHeard) {
        if (doubtfulFrom == null) {
            doubtfulFrom = lastHeard.minus(IN_TRANSIT);
        }
    }

    /** The link is made again: what is sent from here on gets there. */
    public void linkBack(Duration now) {
        linkBackAt = now;
    }

    /** All notices of the time without a link have been read: what may not have got there is sent again. */
    public void caughtUp() {
        if (doubtfulFrom == null) {
            return;
        }
        Duration doubtful = doubtfulFrom;
        doubtfulFrom = null;
        for (Work work : byId.values()) {
            if (!work.launched || work.end != null) {
                continue;
            }
            if (work.callBody == null && work.reply == null) {
                outside.launch(work);
            }
            // Sent twice, a reply might be taken for that to the next call of the run: only where it is in doubt.
            if (work.reply != null && work.repliedAt.compareTo(doubtful) >= 0
                    && work.repliedAt.compareTo(linkBackAt) < 0) {
                outside.deliver(work, work.reply);
            }
            if (work.halted) {
                outside.freeze(work);
            }
        }
    }

    /** Notices were missed for good: how the runs of that time ended is not known, and they are not begun again. */
    public void noticesMissed(Duration now) {
        for (Work work : List.copyOf(byId.values())) {
            if (work.launched && work.end == null) {
                ended(now, work.id, Ending.ERROR, null);
            }
        }
    }

    /** After each batch: settles as often as something has happened since. */
    public void settle(Duration now) {
        while (touched && conductor != null) {
            touched = false;
            this.now = now;
            conductor.settle(now);
            repeats.sweep(now);
        }
    }

    private void touch(Duration now) {
        this.now = now;
        touched = true;
    }

    // ---- answers

    /** Its answer is given or owed no longer; returns who waited for it. */
    private Caller over(Work work) {
        Caller caller = work.caller;
        work.answered = true;
        work.caller = null;
        inHand--;
        return caller;
    }

    private void answer(Work work, Ending how, byte[] result) {
        if (work.answered) {
            return;
        }
        Caller caller = over(work);
        if (how == Ending.OK) {
            caller.satisfied(result);
        } else {
            caller.brokenOff();
        }
    }

    /** The operation ends as the one whose outcome it shares; where there is none, it is broken off. */
    private void endAs(Work sharer, Work original) {
        if (sharer.end != null) {
            return;
        }
        byte[] result = original != null && original.end == Ending.OK ? original.result : null;
        sharer.end = result != null ? Ending.OK : Ending.ERROR;
        sharer.body = null;
        answer(sharer, sharer.end, result);
        touched = true;
        sharer.handle.ended(now, sharer.end);
    }

    private void giveUp(Work work) {
        if (work.calling) {
            work.calling = false;
            outside.giveUp(work);
        }
    }

    // ---- what the module decides

    @Override public void level(double value) {
        level = value;
    }

    @Override public void health(boolean good) {
        healthy = good;
    }

    @Override public void closeIdle(Duration after) {
        outside.closeIdle(after);
    }

    @Override public void keep(Work work, Duration span) {
        if (work.mark != null) {
            repeats.keep(work, now.plus(span));
        }
    }

    @Override public void breakOff(Work work) {
        answer(work, Ending.ERROR, null);
        giveUp(work);
        repeatsUnkept(work);
    }

    @Override public void halt(Work work) {
        if (work.launched && work.end == null) {
            work.halted = true;
            outside.freeze(work);
        }
    }

    @Override public void pushBack(Work work, boolean nowhereElse, Duration stayAway) {
        if (!work.answered) {
            over(work).pushedBack(nowhereElse, stayAway);
        }
        repeatsUnkept(work);
    }

    /** What never ran and was never kept is not to be found by a repeat. */
    private void repeatsUnkept(Work work) {
        if (!work.launched) {
            repeats.forget(work);
            work.body = null;
        }
    }

    @Override public void forget(Work work) {
        repeats.forget(work);
    }

    @Override public void start(Work work) {
        work.launched = true;
        ontoCores++;
        outside.launch(work);
    }

    @Override public void share(Work work) {
        Work original = work.repeats;
        while (original != null && !original.launched && original.repeats != null) {
            original = original.repeats;
        }
        if (original == null || !original.launched) {
            // Its original ended unrun and another repeat has taken its place.
            original = repeats.holder(work.mark);
        }
        if (original != null && original.launched && original.end == null) {
            original.sharedBy(work);
        } else {
            endAs(work, original);
        }
    }

    @Override public void call(Work work, Duration giveUpAfter) {
        if (work.callBody != null && work.end == null) {
            work.calling = true;
            work.calledAt = now;
            outside.call(work, giveUpAfter);
        }
    }

    @Override public void omit(Work work) {
        work.callBody = null;
        outside.forgo(work);
    }

    @Override public void log(String line) {
        outside.log(line);
    }

    @Override public void alarm(Duration at) {
        outside.alarm(at);
    }

    @Override public void release(Work work) {
        byId.remove(work.id);
        repeats.forget(work);
    }
}
