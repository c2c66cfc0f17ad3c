package merlinlever.fleet.routes.net;

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
import merlinlever.backend.DownstreamService;
import merlinlever.backend.TrackedRequest;
import merlinlever.backend.records.RecordsClient;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;
import merlinlever.controller.Outcome;
import merlinlever.fleet.routes.LocalServiceHealth;
import merlinlever.fleet.routes.RouteSelector;
import merlinlever.fleet.routes.RoutingTable;

/**
 * The calls of one backend, to its own records service and to partners, which speak the same protocol: carries out what {@link
 * RouteSelector} decides, and reports how many calls per second there is capacity for while its own service is not healthy. A call
 * that surely did not run at the own service is sent on at once; one that may have taken effect never is. On the loop's thread
 * only.
 */
public final class RoutedDownstreamService implements DownstreamService {

    /** Upper bound of the partner addresses that have connections; a further one is not called. */
    private static final int MAX_PARTNER_ADDRESSES = 64;
    /** Upper bound of the requests whose attempts are remembered, the oldest forgotten first: as many as the core caches keys of. */
    private static final int MAX_TRACKED_REQUESTS = 8192;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long LOCAL_SERVICE_HEALTHY = -1;
    private static final RouteSelector.RoutingClass LOCAL_ONLY =
            new RouteSelector.RoutingClass("-", RouteSelector.RetrySafety.NON_IDEMPOTENT, false);

    /** What became of the calls of one request since the last that succeeded. */
    private static final class CallAttempts {
        private final Set<String> addresses = new HashSet<>();
        private boolean mayHaveTakenEffect;
        private TrackedRequest request;
        private byte[] body;
        private Duration startedAt;
        private Duration deadline;
        /** Where its call is in flight; null where none is. */
        private RecordsClient client;
    }

    /**
     * What is routed, and where the own service is.
     *
     * @param ownAddress of the own records service
     * @param maxConnections to the own service, and to each address of a partner
     * @param routingClasses of the priority classes; a class that is not among them stays
     * @param group of the routes
     */
    public record RoutingSettings(
            InetSocketAddress ownAddress,
            int maxConnections,
            List<RouteSelector.RoutingClass> routingClasses,
            String group) {}

    private final EventLoop loop;
    private final CompletionListener listener;
    private final Log log;
    private final RecordsClient ownClient;
    private final RoutingTable routingTable;
    private final RouteSelector selector;
    private final LocalServiceHealth localHealth;
    private final RoutingSettings settings;
    private final Map<String, RouteSelector.RoutingClass> routingClasses = new TreeMap<>();
    private final Map<String, RecordsClient> partnerClients = new TreeMap<>();
    private final Map<Long, CallAttempts> attemptsByRequest = new LinkedHashMap<>();
    private LocalServiceHealth.HealthState loggedState = LocalServiceHealth.HealthState.HEALTHY;
    private long lastCapacity = LOCAL_SERVICE_HEALTHY;
    private long callsToPartners;

    /**
     * Starts to report the capacity.
     *
     * @param listener is told the outcome of each call
     * @param onCapacity takes how many calls per second there is capacity for, or -1 while the own service is healthy; whenever
     *     that changes
     */
    public RoutedDownstreamService(
            EventLoop loop,
            CompletionListener listener,
            Log log,
            RoutingTable routingTable,
            RouteSelector selector,
            LocalServiceHealth localHealth,
            RoutingSettings settings,
            LongConsumer onCapacity) {
        this.loop = loop;
        this.listener = listener;
        this.log = log;
        this.routingTable = routingTable;
        this.selector = selector;
        this.localHealth = localHealth;
        this.settings = settings;
        settings.routingClasses().forEach(routingClass -> routingClasses.put(routingClass.name(), routingClass));
        ownClient = new RecordsClient(
                loop,
                settings.ownAddress(),
                (now, id, outcome, reply) -> localCallEnded(now, id, outcome, reply),
                log,
                settings.maxConnections());
        loop.runNowAndEvery(TICK_INTERVAL, () -> tick(onCapacity));
    }

    private void tick(LongConsumer onCapacity) {
        Duration now = loop.clock().uptime();
        routingTable.tick(now);
        long capacity = isLocalHealthy()
                ? LOCAL_SERVICE_HEALTHY
                : selector.callsPerSecond(now, settings.routingClasses(), settings.group());
        if (capacity != lastCapacity) {
            lastCapacity = capacity;
            onCapacity.accept(capacity);
        }
    }

    private boolean isLocalHealthy() {
        return localHealth.state() == LocalServiceHealth.HealthState.HEALTHY;
    }

    /** The own service is reached at that address from now on. */
    public void moveTo(InetSocketAddress address) {
        ownClient.setAddress(address);
    }

    /** How many calls went to partners. */
    public long callsToPartners() {
        return callsToPartners;
    }

    @Override
    public void call(TrackedRequest request, byte[] body, Duration within) {
        Duration now = loop.clock().uptime();
        CallAttempts attempts = attemptsByRequest.computeIfAbsent(request.id(), id -> new CallAttempts());
        if (attemptsByRequest.size() > MAX_TRACKED_REQUESTS) {
            attemptsByRequest.remove(attemptsByRequest.keySet().iterator().next());
        }
        attempts.request = request;
        attempts.body = body;
        attempts.startedAt = now;
        attempts.deadline = now.plus(within);
        boolean isIdempotent = routingClass(request).retrySafety() == RouteSelector.RetrySafety.IDEMPOTENT;
        if (attempts.mayHaveTakenEffect && !attempts.addresses.isEmpty() && !isIdempotent) {
            // It may have taken effect at a partner: there is no second attempt, not even at home.
            loop.execute(() -> listener.callEnded(loop.clock().now(), request.id(), Outcome.CONNECTION_LOST, null));
        } else if (isLocalHealthy() || localHealth.shouldProbe(now) || !callPartner(now, attempts, false)) {
            attempts.client = ownClient;
            ownClient.call(request, body, within);
        }
    }

    private RouteSelector.RoutingClass routingClass(TrackedRequest request) {
        return routingClasses.getOrDefault(request.priorityClassName(), LOCAL_ONLY);
    }

    /** Sends the call along a route; returns false where there is none. */
    private boolean callPartner(Duration now, CallAttempts attempts, boolean isOverQuota) {
        RouteSelector.RoutedCall call = new RouteSelector.RoutedCall(
                routingClass(attempts.request),
                settings.group(),
                attempts.request.routingKey(),
                attempts.addresses,
                attempts.mayHaveTakenEffect);
        Optional<RouteSelector.SelectedRoute> route = selector.selectRoute(now, call, localHealth.state(), isOverQuota);
        if (route.isEmpty()) {
            return false;
        }
        String address = route.get().address();
        RecordsClient client = partnerClient(address);
        if (client == null || attempts.deadline.compareTo(now) <= 0) {
            return false;
        }
        callsToPartners++;
        attempts.addresses.add(address);
        attempts.startedAt = now;
        attempts.client = client;
        client.call(attempts.request, attempts.body, attempts.deadline.minus(now));
        return true;
    }

    /** The connections to an address, or null where there are too many addresses. */
    private RecordsClient partnerClient(String address) {
        RecordsClient client = partnerClients.get(address);
        if (client == null && partnerClients.size() < MAX_PARTNER_ADDRESSES) {
            int colon = address.lastIndexOf(':');
            // Numeric, as the reader of tables makes sure: nothing is looked up.
            InetSocketAddress socketAddress =
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
            client = new RecordsClient(loop, socketAddress, this::callEnded, log, settings.maxConnections());
            partnerClients.put(address, client);
        }
        return client;
    }

    private void localCallEnded(Duration moduleNow, long id, Outcome outcome, byte[] reply) {
        CallAttempts attempts = attemptsByRequest.get(id);
        if (attempts != null) {
            Duration now = loop.clock().uptime();
            localHealth.recordOutcome(now, outcome, now.minus(attempts.startedAt));
            if (localHealth.state() != loggedState) {
                loggedState = localHealth.state();
                log.info("records-service-health state=" + loggedState.wireName());
            }
        }
        callEnded(moduleNow, id, outcome, reply);
    }

    private void callEnded(Duration moduleNow, long id, Outcome outcome, byte[] reply) {
        CallAttempts attempts = attemptsByRequest.get(id);
        if (attempts == null) {
            listener.callEnded(moduleNow, id, outcome, reply);
            return;
        }
        attempts.client = null;
        attempts.mayHaveTakenEffect |= outcome != Outcome.OK && !outcome.provesNoEffect();
        boolean surelyDidNotRun = outcome == Outcome.UNREACHABLE || outcome == Outcome.REJECTED;
        if (surelyDidNotRun && callPartner(loop.clock().uptime(), attempts, true)) {
            return;
        }
        if (outcome == Outcome.OK) {
            attemptsByRequest.remove(id);
        }
        listener.callEnded(moduleNow, id, outcome, reply);
    }

    @Override
    public void cancel(TrackedRequest request) {
        CallAttempts attempts = attemptsByRequest.get(request.id());
        if (attempts != null && attempts.client != null) {
            attempts.client.cancel(request);
            attempts.client = null;
            attempts.mayHaveTakenEffect = true;
        }
    }

    /** The state as members of a JSON object, as {@code GET /state} shows it. */
    public String json() {
        return "\"routes\":{\"own\":\"" + localHealth.state().wireName() + "\",\"known\":" + routingTable.routeCount()
                + ",\"sent\":" + callsToPartners + "}";
    }
}
