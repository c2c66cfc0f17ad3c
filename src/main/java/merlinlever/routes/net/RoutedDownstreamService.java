package merlinlever.routes.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import merlinlever.Outcome;
import merlinlever.core.DownstreamService;
import merlinlever.core.TrackedRequest;
import merlinlever.log.Log;
import merlinlever.net.EventLoop;
import merlinlever.records.RecordsClient;
import merlinlever.routes.LocalServiceHealth;
import merlinlever.routes.RouteSelector;
import merlinlever.routes.RoutingTable;

/**
 * The calls of one backend, to its own records service and to places of partners, which speak the same protocol: carries out what
 * {@link RouteSelector} decides and tells the module how much room there is while its own service is not good. What surely never ran at
 * the own service is sent on within the same call; what may have had its effect never is.
 */
public final class RoutedDownstreamService implements DownstreamService {

    /** Places that links are kept for; a further one is not called. */
    private static final int MOST_PLACES = 64;
    /** Operations whose tries are remembered, the oldest forgotten first: as many as the core keeps marks for. */
    private static final int MOST_TRIES = 8192;

    private static final Duration LOOK = Duration.ofMillis(50);
    private static final RouteSelector.RoutingClass STAYS =
            new RouteSelector.RoutingClass("-", RouteSelector.RetrySafety.BINDING, false);

    /** What became of the calls of one operation since the last that went well. */
    private static final class CallAttempts {
        final Set<String> places = new HashSet<>();
        boolean missing;
        TrackedRequest work;
        byte[] body;
        Duration began, until;
        /** Where its call is in hand; null where none is. */
        RecordsClient link;
    }

    private final EventLoop loop;
    private final CompletionListener maker;
    private final Log log;
    private final RecordsClient own;
    private final RoutingTable routes;
    private final RouteSelector exits;
    private final LocalServiceHealth state;
    private final Map<String, RouteSelector.RoutingClass> tariffs = new TreeMap<>();
    private final String group;
    private final int most;
    private final Map<String, RecordsClient> links = new TreeMap<>();
    private final Map<Long, CallAttempts> all = new LinkedHashMap<>();
    private LocalServiceHealth.HealthState told = LocalServiceHealth.HealthState.GOOD;
    private long ways;

    /**
     * @param most connections to the own service, and to each place of a partner, at the same time
     * @param room hears how many calls a second there is room for, or -1 while its own service is good; whenever that changes
     */
    public RoutedDownstreamService(
            EventLoop loop,
            InetSocketAddress ownAt,
            CompletionListener maker,
            Log log,
            int most,
            RoutingTable routes,
            RouteSelector exits,
            LocalServiceHealth state,
            List<RouteSelector.RoutingClass> tariffs,
            String group,
            LongConsumer room) {
        this.loop = loop;
        this.maker = maker;
        this.log = log;
        this.routes = routes;
        this.exits = exits;
        this.state = state;
        this.group = group;
        this.most = most;
        tariffs.forEach(each -> this.tariffs.put(each.name(), each));
        own = new RecordsClient(loop, ownAt, (now, id, how, reply) -> ended(now, id, how, reply, null), log, most);
        long[] last = {-1};
        loop.runNowAndEvery(LOOK, () -> {
            routes.settle(loop.clock().uptime());
            long now = state.state() == LocalServiceHealth.HealthState.GOOD
                    ? -1
                    : exits.room(loop.clock().uptime(), tariffs, group);
            if (now != last[0]) {
                last[0] = now;
                room.accept(now);
            }
        });
    }

    /** Its own service is to be reached there from now on. */
    public void moveTo(InetSocketAddress there) {
        own.setAddress(there);
    }

    /** Calls that went to partners. */
    public long ways() {
        return ways;
    }

    @Override
    public void call(TrackedRequest work, byte[] body, Duration within) {
        Duration now = loop.clock().uptime();
        CallAttempts its = all.computeIfAbsent(work.id(), id -> new CallAttempts());
        if (all.size() > MOST_TRIES) {
            all.remove(all.keySet().iterator().next());
        }
        its.work = work;
        its.body = body;
        its.began = now;
        its.until = now.plus(within);
        if (its.missing && !its.places.isEmpty() && tariff(work).kind() != RouteSelector.RetrySafety.RETRIABLE) {
            // It may have had its effect at a partner: there is no second way, not even home.
            loop.execute(() -> maker.callEnded(loop.clock().now(), work.id(), Outcome.CONNECTION_LOST, null));
        } else if (state.state() == LocalServiceHealth.HealthState.GOOD
                || state.tries(now)
                || !elsewhere(now, its, false)) {
            its.link = own;
            own.call(work, body, within);
        }
    }

    private RouteSelector.RoutingClass tariff(TrackedRequest work) {
        return tariffs.getOrDefault(work.priorityClassName(), STAYS);
    }

    /** Sends it along a route; false where there is none. */
    private boolean elsewhere(Duration now, CallAttempts its, boolean overShare) {
        Optional<RouteSelector.SelectedRoute> way = exits.way(
                now,
                new RouteSelector.RoutedCall(tariff(its.work), group, its.work.routingKey(), its.places, its.missing),
                state.state(),
                overShare);
        RecordsClient link = way.isEmpty() ? null : link(way.get().place());
        if (link == null || its.until.compareTo(now) <= 0) {
            return false;
        }
        ways++;
        its.places.add(way.get().place());
        its.began = now;
        its.link = link;
        link.call(its.work, its.body, its.until.minus(now));
        return true;
    }

    private RecordsClient link(String place) {
        RecordsClient link = links.get(place);
        if (link == null && links.size() < MOST_PLACES) {
            int colon = place.lastIndexOf(':');
            // Numbers alone, by the reader of tables: nothing is looked up.
            InetSocketAddress at =
                    new InetSocketAddress(place.substring(0, colon), Integer.parseInt(place.substring(colon + 1)));
            link = new RecordsClient(loop, at, (now, id, how, reply) -> ended(now, id, how, reply, place), log, most);
            links.put(place, link);
        }
        return link;
    }

    private void ended(Duration moduleNow, long id, Outcome how, byte[] reply, String place) {
        Duration now = loop.clock().uptime();
        CallAttempts its = all.get(id);
        if (its == null) {
            maker.callEnded(moduleNow, id, how, reply);
            return;
        }
        its.link = null;
        if (place == null) {
            state.ended(now, how, now.minus(its.began));
            if (state.state() != told) {
                told = state.state();
                log.info("records service: " + told.wireName());
            }
        }
        its.missing |= how != Outcome.OK && !how.provesNoEffect();
        boolean unrun = how == Outcome.UNREACHABLE || how == Outcome.REJECTED;
        if (unrun && elsewhere(now, its, true)) {
            return;
        }
        if (how == Outcome.OK) {
            all.remove(id);
        }
        maker.callEnded(moduleNow, id, how, reply);
    }

    @Override
    public void cancel(TrackedRequest work) {
        CallAttempts its = all.get(work.id());
        if (its != null && its.link != null) {
            its.link.cancel(work);
            its.link = null;
            its.missing = true;
        }
    }

    /** What it knows, as members of a JSON object. */
    public String json() {
        return "\"routes\":{\"own\":\"" + state.state().wireName() + "\",\"known\":" + routes.routes() + ",\"sent\":"
                + ways + "}";
    }
}
