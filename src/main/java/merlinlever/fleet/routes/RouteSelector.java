package merlinlever.fleet.routes;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the route of a call when this site's own records service is unreachable, slow or over its quota. Selects
 * the most preferred route that has capacity; calls are distributed over equally good routes by a hash of their key,
 * in proportion to the routes' rates. Adding or removing a route moves only the keys of that route (rendezvous
 * hashing: Thaler and Ravishankar 1998; weights: Schindelhauer and Schomaker 2005). Not thread-safe.
 */
public final class RouteSelector {

    /** Whether a call can be retried without a duplicate effect. */
    public enum RetrySafety {
        /** The call may run more than once. */
        IDEMPOTENT,
        /** The call may be repeated only at the same service, which detects duplicates by the idempotency key. */
        IDEMPOTENT_BY_KEY,
        /** The call may run at most once. */
        NON_IDEMPOTENT
    }

    /**
     * The routing properties of a priority class.
     *
     * @param name name of the priority class
     * @param mayLeaveSite whether calls may be sent to partners; a route must also allow non-idempotent calls to
     *     carry them
     */
    public record RoutingClass(String name, RetrySafety retrySafety, boolean mayLeaveSite) {}

    /**
     * A call to route.
     *
     * @param attemptedAddresses partner addresses to which calls of this request were already sent
     * @param mayHaveTakenEffect whether an earlier attempt of the call may have taken effect
     */
    public record RoutedCall(
            RoutingClass routingClass,
            String group,
            String key,
            Set<String> attemptedAddresses,
            boolean mayHaveTakenEffect) {}

    /** The destination of a call and the route to the destination. */
    public record SelectedRoute(String site, String address, String routeId) {}

    /** Maximum number of routes whose rate is tracked. Routes beyond this limit are not used. */
    private static final int MAX_RATE_WINDOWS = 4096;

    private final RoutingTable routingTable;
    private final int backends;
    private final Map<String, RateWindow> rateWindows = new LinkedHashMap<>();

    /**
     * Creates a selector with the full capacity of all routes.
     *
     * @param backends maximum number of backends of this site, which share the capacity of each route
     */
    public RouteSelector(RoutingTable routingTable, int backends) {
        this.routingTable = routingTable;
        this.backends = backends;
    }

    /**
     * Selects the route of a call and uses capacity of the route. Returns empty if the local service should run the
     * call, or if no route is available.
     */
    public Optional<SelectedRoute> selectRoute(
            Duration now, RoutedCall call, LocalServiceHealth.HealthState localHealth, boolean isOverQuota) {
        if (localHealth == LocalServiceHealth.HealthState.HEALTHY && !isOverQuota) {
            return Optional.empty();
        }
        for (List<RouteMerger.Candidate> tier : preferenceTiers(now, call)) {
            Optional<RouteMerger.Candidate> candidate = selectWithCapacity(now, call.key(), tier);
            if (candidate.isPresent()) {
                Route route = candidate.get().route();
                return Optional.of(new SelectedRoute(candidate.get().partner(), route.address(), route.id()));
            }
        }
        return Optional.empty();
    }

    /** Returns the candidate with the lowest score among the candidates that have capacity. */
    private Optional<RouteMerger.Candidate> selectWithCapacity(
            Duration now, String key, List<RouteMerger.Candidate> candidates) {
        double[] scores = new double[candidates.size()];
        Arrays.setAll(scores, i -> score(key, candidates.get(i)));
        for (int attempt = 0; attempt < scores.length; attempt++) {
            int best = 0;
            for (int i = 1; i < scores.length; i++) {
                best = scores[i] < scores[best] ? i : best;
            }
            RateWindow window = rateWindow(now, candidates.get(best));
            if (window != null && window.hasCapacity(now)) {
                window.recordStart(now);
                return Optional.of(candidates.get(best));
            }
            scores[best] = Double.POSITIVE_INFINITY;
        }
        return Optional.empty();
    }

    /** Groups the candidates that the call may use by preference. The most preferred group is first. */
    private List<List<RouteMerger.Candidate>> preferenceTiers(Duration now, RoutedCall call) {
        List<List<RouteMerger.Candidate>> tiers = new ArrayList<>();
        RoutingClass routingClass = call.routingClass();
        if (call.mayHaveTakenEffect() && routingClass.retrySafety() != RetrySafety.IDEMPOTENT) {
            return tiers;
        }
        RouteMerger.Candidate previous = null;
        for (RouteMerger.Candidate candidate : routingTable.candidates(now, routingClass.name() + "/" + call.group())) {
            Route route = candidate.route();
            if (!isPermitted(routingClass, route) || call.attemptedAddresses().contains(route.address())) {
                continue;
            }
            if (previous == null || !isSameTier(now, candidate, previous)) {
                tiers.add(new ArrayList<>());
            }
            tiers.get(tiers.size() - 1).add(candidate);
            previous = candidate;
        }
        return tiers;
    }

    private boolean isSameTier(Duration now, RouteMerger.Candidate first, RouteMerger.Candidate second) {
        return first.isEquallyGood(second)
                && routingTable.isStale(now, first.partner()) == routingTable.isStale(now, second.partner());
    }

    /** Whether calls of the class may use the route, regardless of capacity. */
    static boolean isPermitted(RoutingClass routingClass, Route route) {
        RetrySafety retrySafety = routingClass.retrySafety();
        return routingClass.mayLeaveSite()
                && (retrySafety != RetrySafety.NON_IDEMPOTENT || route.allowsNonIdempotent())
                && (retrySafety == RetrySafety.IDEMPOTENT
                        || !route.restrictions().idempotentOnly());
    }

    /** Returns the rate window of a route, or null if too many routes are tracked. */
    private RateWindow rateWindow(Duration now, RouteMerger.Candidate candidate) {
        Route route = candidate.route();
        String id = candidate.partner() + " " + route.callsPerSecond() + " " + route.id();
        RateWindow window = rateWindows.get(id);
        if (window == null) {
            if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                rateWindows.values().removeIf(oldWindow -> oldWindow.isIdle(now));
                if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                    return null;
                }
            }
            window = new RateWindow(route.callsPerSecond(), backends);
            rateWindows.put(id, window);
        }
        return window;
    }

    /** Maximum total rate at which this backend may send calls of the classes to partners, rounded down. */
    public long callsPerSecond(Duration now, List<RoutingClass> routingClasses, String group) {
        long callsPerThousandSeconds = 0;
        for (RoutingClass routingClass : routingClasses) {
            for (RouteMerger.Candidate candidate : routingTable.candidates(now, routingClass.name() + "/" + group)) {
                if (isPermitted(routingClass, candidate.route())) {
                    callsPerThousandSeconds +=
                            RateWindow.callsPerThousandSeconds(candidate.route().callsPerSecond(), backends);
                }
            }
        }
        return callsPerThousandSeconds / 1000;
    }

    /**
     * The weighted rendezvous score of a candidate for a key. A candidate has the lowest score for a share of the
     * keys that equals its share of the total rate.
     */
    static double score(String key, RouteMerger.Candidate candidate) {
        long hash = hash(key, candidate.partner() + candidate.route().address());
        double uniformSample = ((hash >>> 11) + 0.5) * 0x1.0p-53;
        return -Math.log(uniformSample) / candidate.route().callsPerSecond();
    }

    /**
     * A 64-bit hash of the key and the address: FNV-1a, followed by the finalizer of SplittableRandom (Stafford's
     * variant 13). Written out here because {@code serve} loads no library with hash functions.
     */
    private static long hash(String key, String address) {
        long hash = 0xcbf29ce484222325L;
        for (byte octet : (key + '\n' + address).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ octet) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
