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
 * Sends the downstream calls of one backend to the local records service, or along the route that {@link
 * RouteSelector} selects to a partner, which uses the same protocol. Reports the available rate of the routes while
 * the local service is not healthy. A call that provably did not run at the local service is forwarded immediately; a
 * call that may have taken effect is not forwarded, and a retry is up to the controller. All methods are called on
 * the event loop's thread.
 */
public final class RoutedDownstreamService implements DownstreamService {

    /** Maximum number of partner addresses with connections. Further addresses are not called. */
    private static final int MAX_PARTNER_ADDRESSES = 64;
    /**
     * Maximum number of requests whose attempts are tracked, equal to the number of keys that the controller caches.
     * The oldest request is removed first.
     */
    private static final int MAX_TRACKED_REQUESTS = 8192;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long LOCAL_SERVICE_HEALTHY = -1;
    private static final RouteSelector.RoutingClass LOCAL_ONLY =
            new RouteSelector.RoutingClass("-", RouteSelector.RetrySafety.NON_IDEMPOTENT, false);

    /** The call attempts of one request since its last successful call. */
    private static final class CallAttempts {
        private final Set<String> addresses = new HashSet<>();
        private boolean mayHaveTakenEffect;
        private TrackedRequest request;
        private byte[] body;
        private Duration startedAt;
        private Duration deadline;
        /** The client of the call in flight; null if there is no call. */
        private RecordsClient client;
    }

    /**
     * Settings of the routing and the local service.
     *
     * @param localAddress address of the local records service
     * @param maxConnections maximum number of connections to the local service, and to each partner address
     * @param routingClasses routing properties of the priority classes; calls of other classes are not sent to
     *     partners
     * @param group group of the routes to use
     */
    public record RoutingSettings(
            InetSocketAddress localAddress,
            int maxConnections,
            List<RouteSelector.RoutingClass> routingClasses,
            String group) {}

    private final EventLoop loop;
    private final CompletionListener listener;
    private final Log log;
    private final RecordsClient localClient;
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
     * Creates the service and starts to report the capacity.
     *
     * @param listener receives the outcome of each call
     * @param onCapacity receives each change of the available rate of the routes in calls per second, or -1 when the
     *     local service is healthy
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
        localClient = new RecordsClient(
                loop,
                settings.localAddress(),
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

    /** Changes the address of the local service. */
    public void setLocalAddress(InetSocketAddress address) {
        localClient.setAddress(address);
    }

    /** Number of calls that were sent to partners. */
    public long callsToPartners() {
        return callsToPartners;
    }

    @Override
    public void call(TrackedRequest request, byte[] body, Duration timeout) {
        Duration now = loop.clock().uptime();
        CallAttempts attempts = attemptsByRequest.computeIfAbsent(request.id(), id -> new CallAttempts());
        if (attemptsByRequest.size() > MAX_TRACKED_REQUESTS) {
            attemptsByRequest.remove(attemptsByRequest.keySet().iterator().next());
        }
        attempts.request = request;
        attempts.body = body;
        attempts.startedAt = now;
        attempts.deadline = now.plus(timeout);
        boolean isIdempotent = routingClass(request).retrySafety() == RouteSelector.RetrySafety.IDEMPOTENT;
        if (attempts.mayHaveTakenEffect && !attempts.addresses.isEmpty() && !isIdempotent) {
            // The call may have taken effect at a partner, so it must not be repeated at the local service either.
            loop.execute(() -> listener.callEnded(loop.clock().now(), request.id(), Outcome.CONNECTION_LOST, null));
        } else if (isLocalHealthy() || localHealth.shouldProbe(now) || !callPartner(now, attempts, false)) {
            attempts.client = localClient;
            localClient.call(request, body, timeout);
        }
    }

    private RouteSelector.RoutingClass routingClass(TrackedRequest request) {
        return routingClasses.getOrDefault(request.priorityClassName(), LOCAL_ONLY);
    }

    /** Sends the call to a partner; returns false if no route is available. */
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

    /** Returns the client for an address, or null if there are too many addresses. */
    private RecordsClient partnerClient(String address) {
        RecordsClient client = partnerClients.get(address);
        if (client == null && partnerClients.size() < MAX_PARTNER_ADDRESSES) {
            int separator = address.lastIndexOf(':');
            // RouteTableReader accepts only numeric addresses, so no name is resolved here.
            InetSocketAddress socketAddress = new InetSocketAddress(
                    address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
            client = new RecordsClient(loop, socketAddress, this::callEnded, log, settings.maxConnections());
            partnerClients.put(address, client);
        }
        return client;
    }

    private void localCallEnded(Duration now, long id, Outcome outcome, byte[] reply) {
        CallAttempts attempts = attemptsByRequest.get(id);
        if (attempts != null) {
            Duration uptime = loop.clock().uptime();
            localHealth.recordOutcome(uptime, outcome, uptime.minus(attempts.startedAt));
            if (localHealth.state() != loggedState) {
                loggedState = localHealth.state();
                log.info("records-service-health state=" + loggedState.wireName());
            }
        }
        callEnded(now, id, outcome, reply);
    }

    private void callEnded(Duration now, long id, Outcome outcome, byte[] reply) {
        CallAttempts attempts = attemptsByRequest.get(id);
        if (attempts == null) {
            listener.callEnded(now, id, outcome, reply);
            return;
        }
        attempts.client = null;
        attempts.mayHaveTakenEffect |= outcome != Outcome.OK && !outcome.provesNoEffect();
        boolean didNotRun = outcome == Outcome.UNREACHABLE || outcome == Outcome.REJECTED;
        if (didNotRun && callPartner(loop.clock().uptime(), attempts, true)) {
            return;
        }
        if (outcome == Outcome.OK) {
            attemptsByRequest.remove(id);
        }
        listener.callEnded(now, id, outcome, reply);
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

    /** Returns the state as members of a JSON object for {@code GET /state}. */
    public String json() {
        return "\"routes\":{\"own\":\"" + localHealth.state().wireName() + "\",\"known\":" + routingTable.routeCount()
                + ",\"sent\":" + callsToPartners + "}";
    }
}
