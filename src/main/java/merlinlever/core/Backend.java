package merlinlever.core;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.ControllerEvent;
import merlinlever.Durations;
import merlinlever.Outcome;
import merlinlever.QuotaDemand;
import merlinlever.RequestAttributes;
import merlinlever.RequestHandle;
import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.OverloadController;

/**
 * The real backend without its sockets: follows each operation from its reading to its one answer, through the agent
 * that runs it and the calls that its run makes. It decides nothing; what is decided comes out of the module.
 */
public final class Backend implements DecisionHandler<TrackedRequest>, DownstreamService.CompletionListener {

    /** What an edge node sends with an operation. */
    public record RequestMetadata(
            long id,
            String name,
            int tariff,
            String tariffName,
            Duration arrival,
            Duration clientTimeout,
            double kb,
            Duration work,
            boolean again,
            String token,
            String subject,
            byte[] body) {}

    /** The most fingerprints, with bodies and results, that the memory of this process is planned for. */
    private static final int MOST_KEPT = 4000;
    /** What is said to have come before that, and before the longest time that a caller waits, cannot be so. */
    private static final Duration LONGEST_UNREAD = Duration.ofSeconds(30);

    private final Map<String, String> given;
    private final long seed;
    private final BackendDependencies outside;
    private final Map<String, Integer> tariffs;
    private final Map<Long, TrackedRequest> byId = new LinkedHashMap<>();
    private final IdempotencyCache repeats = new IdempotencyCache();
    private final ResponseTracker endings = new ResponseTracker();
    private final DownstreamCallTracker calling;
    private final HealthChecks checks;
    private final InDoubtCommands inDoubt;
    private final PendingFleetState fleetwide = new PendingFleetState();
    private final boolean subjects;
    private final Duration longestUnread;
    private final int runQueueAt;
    private ControllerDriver<TrackedRequest> conductor;
    private Duration now = Duration.ZERO;
    private boolean touched, leaving;
    private double level = Double.NaN;
    /** Runs that were sent onto the cores since the agent was last asked for its gauges. */
    private int ontoCores;

    public Backend(Map<String, String> given, long seed, BackendDependencies outside) {
        this.given = new HashMap<>(given);
        this.seed = seed;
        this.outside = outside;
        calling = new DownstreamCallTracker(outside::calls);
        checks = new HealthChecks(outside::exercise);
        inDoubt = new InDoubtCommands(outside);
        tariffs = ControllerDriver.indices(given, "tariffs");
        runQueueAt = List.of(given.getOrDefault("server.gauges", "").split(",")).indexOf("run-queue");
        Duration longest = LONGEST_UNREAD;
        for (int i = 0; i < tariffs.size(); i++) {
            longest = Durations.later(
                    longest,
                    Durations.ofMillis(SettingsTranslator.number(given, "tariffs." + i + ".client-timeout", 0)));
        }
        longestUnread = longest;
        subjects = SettingsTranslator.number(given, "server.fresh-for", 0) > 0;
        // A limit of this process, in the terms that the module knows: it turns away what it cannot remember.
        double leastKb = SettingsTranslator.number(given, "server.memory-kb", 100_000) / MOST_KEPT;
        this.given.put(
                "server.kb-per-fingerprint",
                "" + Math.max(leastKb, SettingsTranslator.number(given, "server.kb-per-fingerprint", 0)));
        // What is stated badly is to be found now, and not when the agent is up.
        new OverloadController(this.given, seed);
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
        return endings.owed();
    }

    /** Operations that something may still name. */
    int known() {
        return byId.size();
    }

    /** What the module sees of this server, or null before the agent is up. */
    public ControllerMetrics figures() {
        return conductor == null ? null : conductor.control().metrics();
    }

    /** In the watch mode, by kind, how often the watched settings would have decided otherwise. */
    public Map<String, Long> watched() {
        return conductor == null ? Map.of() : conductor.watched();
    }

    /** Whether the agent is up and the module calls this server healthy. */
    public boolean healthy() {
        return checks.healthy();
    }

    /** Hears whether work gets done: one exercise at a time serves all that ask meanwhile. */
    public void checkDeeply(Consumer<Boolean> asker) {
        checks.checkDeeply(asker);
    }

    // ---- what happens

    /** The agent is up; times count from its start. */
    public void started(Duration now, boolean cold) {
        if (leaving) {
            return;
        }
        this.now = now;
        given.put("server.cold", "" + cold);
        conductor = new ControllerDriver<>(given, seed, this);
        fleetwide.begin(conductor.control(), now);
        touched = true;
    }

    /** See {@link OverloadController#permitNonIdempotentStarts}; told again whenever it changes. */
    public void keyed(Duration from, Duration to) {
        fleetwide.keyed(from, to);
    }

    /** See {@link OverloadController#setQuota}. */
    public void share(int tariff, long share, boolean perSecond, Duration until, Duration longest) {
        fleetwide.share(tariff, share, perSecond, until, longest);
    }

    /** See {@link OverloadController#quotaDemand}. */
    public QuotaDemand demand(Duration now, int tariff) {
        return fleetwide.demand(now, tariff);
    }

    /** See {@link OverloadController#setWarmStartEstimate}. */
    public void guess(double capacity, double of) {
        fleetwide.guess(capacity, of);
    }

    public boolean started() {
        return conductor != null;
    }

    /** An operation has been read. Returns null where it was answered on the spot. */
    public TrackedRequest arrived(Duration now, RequestMetadata asked, ResponseSink caller) {
        if (conductor == null) {
            caller.pushedBack(false, Duration.ZERO);
            return null;
        }
        // Nothing came later than it was read: a time ahead of ours takes no repeat out of its window.
        Duration arrival = Durations.earlier(asked.arrival(), now);
        // Nor does a time long past tell the module how long others wait unread.
        if (byId.containsKey(asked.id()) || now.minus(arrival).compareTo(longestUnread) > 0) {
            caller.brokenOff();
            return null;
        }
        touch(now);
        String mark = asked.token() != null
                ? "token " + asked.token()
                : asked.subject() != null && readsShare(asked.tariff()) ? asked.tariff() + " " + asked.subject() : null;
        TrackedRequest work = new TrackedRequest(
                asked.id(), asked.name(), asked.tariff(), asked.tariffName(), arrival, mark, asked.body(), caller);
        byId.put(work.id, work);
        endings.owes();
        RequestHandle original = repeats.enter(work, asked.token() != null);
        work.handle = conductor.know(
                conductor
                        .control()
                        .submit(
                                now,
                                RequestAttributes.ofClass(asked.tariff())
                                        .readDelay(now.minus(arrival))
                                        .deadline(Optional.ofNullable(asked.clientTimeout()))
                                        .memoryKb(asked.kb())
                                        .costHint(Optional.ofNullable(asked.work()))
                                        .retry(asked.again())
                                        .shareable(asked.subject() != null)
                                        .original(Optional.ofNullable(original))
                                        .build()),
                work);
        return work;
    }

    /** Only what is retriable is a read; a subject that comes with anything else stands for no answer to share. */
    private boolean readsShare(int tariff) {
        return subjects && "retriable".equals(given.get("tariffs." + tariff + ".kind"));
    }

    public void callerGone(Duration now, TrackedRequest work) {
        if (work.answered) {
            return;
        }
        touch(now);
        endings.over(work);
        work.handle.callerGone(now);
        calling.giveUp(work);
    }

    /** A run has ended, with a result if it was satisfied. */
    public void ended(Duration now, long id, Outcome how, byte[] result) {
        TrackedRequest work = byId.get(id);
        if (work == null || !work.launched || work.end != null) {
            return;
        }
        touch(now);
        if (how == Outcome.STOPPED && work.halted && !work.answered) {
            work.launched = false;
            work.halted = false;
            work.handle.runEnded(now, how);
            return;
        }
        work.end = how;
        work.result = how == Outcome.OK ? result : null;
        calling.over(work);
        endings.ended(work, now, how, result);
        repeats.ended(work, now);
    }

    /** A run waits for a call. */
    public void needsCall(Duration now, long id, byte[] body) {
        TrackedRequest work = byId.get(id);
        if (work != null && work.launched && work.end == null) {
            touch(now);
            calling.reached(work, body);
            work.handle.callNeeded(now);
        }
    }

    @Override
    public void callEnded(Duration now, long id, Outcome how, byte[] reply) {
        TrackedRequest work = byId.get(id);
        if (work == null || !work.calling) {
            return;
        }
        touch(now);
        Duration took = calling.ended(work, now, how, reply);
        if (how == Outcome.OK) {
            ontoCores++;
            inDoubt.deliver(work, now);
        }
        work.handle.callEnded(now, how, took);
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
        conductor.control().updateGauges(now, gauges);
    }

    public void exercised(boolean good) {
        checks.exercised(good);
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
        if (leaving) {
            // The grace counts from the first notice.
            return;
        }
        leaving = true;
        if (conductor != null) {
            touch(now);
            conductor.control().startDrain(now, stop);
        }
    }

    /** The link to the agent is lost, which stood at that time still: runs go on, what was sent since may not have got there. */
    public void linkLost(Duration stood) {
        inDoubt.lost(stood);
    }

    /** The link is made again: what is sent from here on gets there. */
    public void linkBack(Duration now) {
        touch(now);
        inDoubt.back(byId.values());
    }

    /** All notices of the time without a link have been read: what may not have got there is sent again. */
    public void caughtUp(Duration now) {
        touch(now);
        inDoubt.settle(byId.values(), now);
    }

    /** Notices were missed for good: how the runs of that time ended is not known, and they are not begun again. */
    public void noticesMissed(Duration now) {
        for (TrackedRequest work : List.copyOf(byId.values())) {
            if (work.launched && work.end == null) {
                ended(now, work.id, Outcome.ERROR, null);
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

    // ---- what the module decides

    @Override
    public void level(double value) {
        level = value;
    }

    @Override
    public void health(boolean good) {
        checks.health(good);
    }

    @Override
    public void closeIdle(Duration after) {
        outside.closeIdle(after);
    }

    @Override
    public void keep(TrackedRequest work, Duration span) {
        repeats.keep(work, now.plus(span));
    }

    @Override
    public void breakOff(TrackedRequest work) {
        endings.answer(work, Outcome.ERROR, null);
        calling.giveUp(work);
        repeats.unkept(work);
    }

    @Override
    public void halt(TrackedRequest work) {
        if (work.launched && work.end == null) {
            work.halted = true;
            outside.freeze(work);
        }
    }

    @Override
    public void pushBack(TrackedRequest work, boolean nowhereElse, Duration stayAway) {
        endings.pushBack(work, nowhereElse, stayAway);
        repeats.unkept(work);
    }

    @Override
    public void forget(TrackedRequest work) {
        repeats.forget(work);
    }

    @Override
    public void start(TrackedRequest work) {
        work.launched = true;
        ontoCores++;
        inDoubt.launch(work, now);
    }

    @Override
    public void share(TrackedRequest work) {
        TrackedRequest original = repeats.original(work);
        if (original != null && original.launched && original.end == null) {
            original.sharedBy(work);
        } else if (endings.endAs(work, now, original)) {
            touched = true;
        }
    }

    @Override
    public void call(TrackedRequest work, Duration giveUpAfter) {
        calling.make(work, now, giveUpAfter);
    }

    @Override
    public void omit(TrackedRequest work) {
        work.callBody = null;
        outside.forgo(work);
    }

    @Override
    public void log(ControllerEvent event) {
        outside.log(event.logLine());
    }

    @Override
    public void alarm(Duration at) {
        outside.alarm(at);
    }

    @Override
    public void release(TrackedRequest work) {
        byId.remove(work.id);
        work.released = true;
        repeats.forget(work);
    }
}
