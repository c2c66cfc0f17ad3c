package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import merlinlever.Decisions;
import merlinlever.RequestHandle;
import merlinlever.Settings;
import merlinlever.WireNamed;

/**
 * Decides, inside one server, what it takes, runs and turns away (docs/design.md says why). An adapter makes
 * one for each life of a server. Each operation read goes to {@link #take}, which returns its handle; what
 * happens later is a call on that. {@link #look} brings the gauges, {@link #leave} the notice to leave. After
 * each batch {@link #settle} returns what was decided and when to look again. Instances share nothing. The
 * decisions themselves are in the other classes of this package; the order in which they fall is here.
 */
public final class OverloadController {
    // While something is in hand the module looks this often.
    static final Duration LOOK = Duration.ofMillis(10);
    private static final Duration IDLE_LOOK = Duration.ofMillis(500);

    /** Why an operation was pushed back. */
    public enum RejectionReason implements WireNamed {
        LEAVING("leaving"),
        HUNG("hung"),
        MEMORY("memory"),
        HOPELESS("hopeless"),
        CHANCE("chance"),
        LATE("late"),
        UNSETTLED("unsettled");

        private final String wireName;

        RejectionReason(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** What the module sees of its server; pushbacks and breaking off are counted from the start. */
    public record ControllerMetrics(
            int held,
            int onCores,
            int atCalls,
            double capacity,
            double avg,
            double level,
            boolean hung,
            boolean leaving,
            double speedShare,
            List<Long> pushedBack,
            long brokenOff) {}

    private final ServerState server;

    /** A module for one life of a server: what is stated at start, by name, and the seed of its chance. */
    public OverloadController(Map<String, String> given, long seed) {
        server = new ServerState(new Settings(given), seed);
    }

    /**
     * Takes an operation that has been read and owes it one final answer from here on.
     *
     * @param clientTimeout when its caller gives up, or null where that is not told
     * @param work the hint of its cost, or null
     * @param again whether it is marked as a further try
     * @param sharable whether it is a read that names its subject
     * @param repeats the kept operation that it repeats, or null
     */
    public RequestHandle take(
            Duration now,
            int tariff,
            Duration unread,
            Duration clientTimeout,
            double kb,
            Duration work,
            boolean again,
            boolean sharable,
            RequestHandle repeats) {
        server.clock(now);
        PriorityClass t = server.tariffs.get(tariff);
        Duration arrival = now.minus(unread);
        Duration due = later(now, clientTimeout != null ? clientTimeout : arrival.plus(t.clientTimeout));
        Request op = new Request(
                server,
                t,
                arrival,
                due,
                kb,
                work == null ? 0 : ms(work),
                sharable && server.repeats.sharable(t),
                again);
        if (server.hand.isEmpty()) {
            server.mode.progress = now;
        }
        server.hand.add(op);
        server.tally(op, 1);
        if (repeats == null || !server.repeats.joins(op, repeats, now)) {
            server.admission.arrive(op, now);
        }
        return op;
    }

    /** The notice to leave: the process is stopped at that time. */
    public void leave(Duration now, Duration stop) {
        server.clock(now);
        server.mode.leave(now, stop);
    }

    /** After a return: what is not retriable is begun if it came from then on, and before the other time. */
    public void keyed(Duration from, Duration to) {
        server.mode.keyedFrom = from;
        server.mode.keyedTo = to;
    }

    /** What a life before or others learned of the capacity, to begin with: worth so many completions. */
    public void guess(double capacity, double completions) {
        server.capacity.guess(capacity, completions);
    }

    /**
     * This server's share of a limit of the fleet, until its lease is over: of calls (-1) or a tariff's runs,
     * in any second or at once. A call is given up after {@code longest}, as others have the share by then.
     */
    public void share(int tariff, long share, boolean perSecond, Duration until, Duration longest) {
        QuotaLimiter limit = server.limits.get(tariff + 1);
        limit.longest = longest;
        limit.share = share;
        limit.perSecond = perSecond;
        limit.until = until;
    }

    /** What is out of such a limit now, and what would be if it were larger; see {@link QuotaLimiter}. */
    public long[] demand(Duration now, int tariff) {
        long waits = tariff < 0
                ? server.atCalls
                : server.hand.stream()
                        .filter(op -> op.phase == Request.Phase.HELD && op.tariff.index == tariff)
                        .count();
        return server.limits.get(tariff + 1).demand(now, waits);
    }

    /** The gauges, in the order that was stated at start. */
    public void look(Duration now, double[] gauges) {
        server.clock(now);
        server.starts.look(gauges);
    }

    /** For whoever manages the server: a look at the figures, which changes nothing. */
    public ControllerMetrics figures() {
        return new ControllerMetrics(
                server.held,
                server.onCores,
                server.atCalls + server.calling,
                server.capacity.hold(),
                server.admission.avg,
                server.level.level,
                server.mode.hung,
                server.mode.leaveAt != null,
                server.capacity.speedShare(),
                Arrays.stream(server.endings.pushbacks).boxed().toList(),
                server.endings.brokenOff);
    }

    /** Decides all that is open and returns it with what was decided since the last time. */
    public Decisions settle(Duration now) {
        server.clock(now);
        server.mode.watch(now);
        server.hand.forEach(op -> server.endings.sweep(op, now));
        server.hand.removeIf(op -> !op.inHand());
        server.next.shared.removeIf(op -> ((Request) op).phase != Request.Phase.SHARING);
        server.repeats.expire(now);
        server.calls.make(now);
        server.starts.start(now);
        server.level.say(now);
        Decisions settled = server.next;
        server.next = new Decisions();
        settled.nextLook = now.plus(server.hand.isEmpty() ? IDLE_LOOK : LOOK);
        Duration stop = server.mode.stopAt;
        if (stop != null && now.compareTo(stop) < 0) {
            settled.nextLook = earlier(settled.nextLook, later(stop.minus(LOOK), now.plusMillis(1)));
        }
        return settled;
    }
}
