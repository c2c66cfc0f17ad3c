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
 * one for each life of a server. Each operation read goes to {@link #submit}, which returns its handle; what
 * happens later is a call on that. {@link #updateGauges} brings the gauges, {@link #startDrain} the notice to leave. After
 * each batch {@link #decide} returns what was decided and when to look again. Instances share nothing. The
 * decisions themselves are in the other classes of this package; the order in which they fall is here.
 */
public final class OverloadController {
    // While something is in hand the module looks this often.
    static final Duration DECISION_INTERVAL = Duration.ofMillis(10);
    private static final Duration IDLE_DECISION_INTERVAL = Duration.ofMillis(500);

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
            int queued,
            int onCores,
            int inCalls,
            double queueCapacity,
            double averageOccupancy,
            double backpressureLevel,
            boolean stalled,
            boolean draining,
            double speedFraction,
            List<Long> rejected,
            long failed) {}

    private final ServerState server;

    /** A module for one life of a server: what is stated at start, by name, and the seed of its chance. */
    public OverloadController(Map<String, String> settings, long seed) {
        server = new ServerState(new Settings(settings), seed);
    }

    /**
     * Takes an operation that has been read and owes it one final answer from here on.
     *
     * @param clientTimeout when its caller gives up, or null where that is not told
     * @param costHint the hint of its cost, or null
     * @param retry whether it is marked as a further try
     * @param shareable whether it is a read that names its subject
     * @param original the kept operation that it repeats, or null
     */
    public RequestHandle submit(
            Duration now,
            int classIndex,
            Duration readDelay,
            Duration clientTimeout,
            double memoryKb,
            Duration costHint,
            boolean retry,
            boolean shareable,
            RequestHandle original) {
        server.clock(now);
        PriorityClass priorityClass = server.tariffs.get(classIndex);
        Duration arrival = now.minus(readDelay);
        Duration deadline = later(now, clientTimeout != null ? clientTimeout : arrival.plus(priorityClass.clientTimeout));
        Request request = new Request(
                server,
                priorityClass,
                arrival,
                deadline,
                memoryKb,
                costHint == null ? 0 : toMillis(costHint),
                shareable && server.repeats.sharable(priorityClass),
                retry);
        if (server.hand.isEmpty()) {
            server.mode.progress = now;
        }
        server.hand.add(request);
        server.tally(request, 1);
        if (original == null || !server.repeats.joins(request, original, now)) {
            server.admission.arrive(request, now);
        }
        return request;
    }

    /** The notice to leave: the process is stopped at that time. */
    public void startDrain(Duration now, Duration stopAt) {
        server.clock(now);
        server.mode.leave(now, stopAt);
    }

    /** After a return: what is not retriable is begun if it came from then on, and before the other time. */
    public void permitNonIdempotentStarts(Duration permittedFrom, Duration permittedUntil) {
        server.mode.keyedFrom = permittedFrom;
        server.mode.keyedTo = permittedUntil;
    }

    /** What a life before or others learned of the capacity, to begin with: worth so many completions. */
    public void setWarmStartEstimate(double capacity, double completions) {
        server.capacity.guess(capacity, completions);
    }

    /**
     * This server's share of a limit of the fleet, until its lease is over: of calls (-1) or a tariff's runs,
     * in any second or at once. A call is given up after {@code longest}, as others have the share by then.
     */
    public void setQuota(int classIndex, long quota, boolean perSecond, Duration leaseUntil, Duration maxCallDuration) {
        QuotaLimiter limiter = server.limits.get(classIndex + 1);
        limiter.longest = maxCallDuration;
        limiter.share = quota;
        limiter.perSecond = perSecond;
        limiter.until = leaseUntil;
    }

    /** What is out of such a limit now, and what would be if it were larger; see {@link QuotaLimiter}. */
    public long[] quotaDemand(Duration now, int classIndex) {
        long waiting = classIndex < 0
                ? server.atCalls
                : server.hand.stream()
                        .filter(op -> op.phase == Request.Phase.HELD && op.tariff.index == classIndex)
                        .count();
        return server.limits.get(classIndex + 1).demand(now, waiting);
    }

    /** The gauges, in the order that was stated at start. */
    public void updateGauges(Duration now, double[] gauges) {
        server.clock(now);
        server.starts.look(gauges);
    }

    /** For whoever manages the server: a look at the figures, which changes nothing. */
    public ControllerMetrics metrics() {
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
    public Decisions decide(Duration now) {
        server.clock(now);
        server.mode.watch(now);
        server.hand.forEach(op -> server.endings.sweep(op, now));
        server.hand.removeIf(op -> !op.inHand());
        server.next.coalesced.removeIf(op -> ((Request) op).phase != Request.Phase.SHARING);
        server.repeats.expire(now);
        server.calls.make(now);
        server.starts.start(now);
        server.level.say(now);
        Decisions decisions = server.next;
        server.next = new Decisions();
        decisions.nextDecisionAt = now.plus(server.hand.isEmpty() ? IDLE_DECISION_INTERVAL : DECISION_INTERVAL);
        Duration stopAt = server.mode.stopAt;
        if (stopAt != null && now.compareTo(stopAt) < 0) {
            decisions.nextDecisionAt = earlier(decisions.nextDecisionAt, later(stopAt.minus(DECISION_INTERVAL), now.plusMillis(1)));
        }
        return decisions;
    }
}
