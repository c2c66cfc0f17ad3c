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
 * Selects the route of a call when this site's own records service is unreachable, slow or over its quota: the best routes that
 * have capacity, and among equally good ones by their calls per second and a hash of the caller's key. A change of the routes moves
 * only the keys of those that went or came (rendezvous hashing: Thaler and Ravishankar 1998; weights: Schindelhauer and Schomaker
 * 2005). Not thread-safe.
 */
public final class RouteSelector {

    /** What a second attempt of a call may do. */
    public enum RetrySafety {
        /** It may run twice. */
        IDEMPOTENT,
        /** It may run twice at one service only, which recognizes its key. */
        IDEMPOTENT_BY_KEY,
        /** It may run once. */
        NON_IDEMPOTENT
    }

    /**
     * What the routing of a call depends on.
     *
     * @param name of the priority class
     * @param mayLeaveSite for non-idempotent calls the route has to allow it as well
     */
    public record RoutingClass(String name, RetrySafety retrySafety, boolean mayLeaveSite) {}

    /**
     * A call to be routed.
     *
     * @param attemptedAddresses where this request's calls were sent before
     * @param mayHaveTakenEffect whether one of those may have run: its answer never came
     */
    public record RoutedCall(
            RoutingClass routingClass,
            String group,
            String key,
            Set<String> attemptedAddresses,
            boolean mayHaveTakenEffect) {}

    /** Where a call goes. */
    public record SelectedRoute(String site, String address, String routeId) {}

    /** Upper bound of the routes whose rate is tracked; further ones are used no more than if they had no capacity. */
    private static final int MAX_RATE_WINDOWS = 4096;

    private final RoutingTable routingTable;
    private final int backends;
    private final Map<String, RateWindow> rateWindows = new LinkedHashMap<>();

    /**
     * A selector that has used no capacity yet.
     *
     * @param backends of this site that divide the capacity of each route: the most that there ever are
     */
    public RouteSelector(RoutingTable routingTable, int backends) {
        this.routingTable = routingTable;
        this.backends = backends;
    }

    /** The route of a call, whose capacity it takes; empty where the call stays, or has nowhere to go. */
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

    /** The candidate of the lowest score; one without capacity leaves its keys to the next of each. */
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

    /** The candidates that the call may use, in groups of equally good ones, best first. */
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

    private boolean isSameTier(Duration now, RouteMerger.Candidate one, RouteMerger.Candidate other) {
        return one.isEquallyGood(other)
                && routingTable.isStale(now, one.partner()) == routingTable.isStale(now, other.partner());
    }

    /** Whether calls of the class may go along the route at all. */
    static boolean isPermitted(RoutingClass routingClass, Route route) {
        RetrySafety retrySafety = routingClass.retrySafety();
        return routingClass.mayLeaveSite()
                && (retrySafety != RetrySafety.NON_IDEMPOTENT || route.allowsNonIdempotent())
                && (retrySafety == RetrySafety.IDEMPOTENT
                        || !route.restrictions().idempotentOnly());
    }

    /** The rate of a route, or null where there are too many. */
    private RateWindow rateWindow(Duration now, RouteMerger.Candidate candidate) {
        Route route = candidate.route();
        String id = candidate.partner() + " " + route.callsPerSecond() + " " + route.id();
        RateWindow window = rateWindows.get(id);
        if (window == null) {
            if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                rateWindows.values().removeIf(tracked -> tracked.isIdle(now));
                if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                    return null;
                }
            }
            window = new RateWindow(route.callsPerSecond(), backends);
            rateWindows.put(id, window);
        }
        return window;
    }

    /** Upper bound of the calls per second that this backend may send out, of the classes that may leave; rounded down. */
    public long callsPerSecond(Duration now, List<RoutingClass> routingClasses, String group) {
        long perThousandSeconds = 0;
        for (RoutingClass routingClass : routingClasses) {
            for (RouteMerger.Candidate candidate : routingTable.candidates(now, routingClass.name() + "/" + group)) {
                if (isPermitted(routingClass, candidate.route())) {
                    perThousandSeconds +=
                            RateWindow.callsPerThousandSeconds(candidate.route().callsPerSecond(), backends);
                }
            }
        }
        return perThousandSeconds / 1000;
    }

    /** The candidate's bid for the key: the lowest has it, each as often as its part of all calls per second. */
    static double score(String key, RouteMerger.Candidate candidate) {
        long hash = hash(key, candidate.partner() + candidate.route().address());
        double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
        return -Math.log(uniform) / candidate.route().callsPerSecond();
    }

    /** 64 bits of both: FNV-1a and then the finisher of SplittableRandom (Stafford's 13th), as serve loads no library of hashes. */
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
