package merlinlever.routes;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which way a call goes when this site's own records service is away, slow or over its share: along the best routes that have
 * room, spread over those that are as good by their calls a second and a hash of the caller's key. A change of the set moves the
 * keys of what went and what came alone (rendezvous hashing: Thaler and Ravishankar 1998; weights: Schindelhauer and Schomaker 2005).
 */
public final class RouteSelector {

    /** As the settings have them. */
    public enum RetrySafety {
        IDEMPOTENT,
        IDEMPOTENT_BY_KEY,
        NON_IDEMPOTENT
    }

    /** @param mayLeaveSite whether it may leave the site; for binding work the route has to say so as well */
    public record RoutingClass(String name, RetrySafety retrySafety, boolean mayLeaveSite) {}

    /** @param attemptedAddresses places that this operation's calls were sent to already
     *  @param mayHaveTakenEffect whether one of those calls may have had its effect: its answer never came */
    public record RoutedCall(RoutingClass routingClass, String group, String key, Set<String> attemptedAddresses, boolean mayHaveTakenEffect) {}

    /** Where it goes. */
    public record SelectedRoute(String site, String address, String routeId) {}

    /** Routes whose begins are remembered; what is over is used no more than if it were full. */
    private static final int MAX_RATE_WINDOWS = 4096;

    private final RoutingTable routes;
    private final int backends;
    private final Map<String, RateWindow> rateWindows = new LinkedHashMap<>();

    /** @param backends of this site that divide the room of each route: the most that there ever are */
    public RouteSelector(RoutingTable routes, int backends) {
        this.routes = routes;
        this.backends = backends;
    }

    /** The way of a call and what it takes of its room; empty where it stays, or has nowhere to go. */
    public Optional<SelectedRoute> selectRoute(
            Duration now, RoutedCall call, LocalServiceHealth.HealthState localHealth, boolean isOverQuota) {
        if (localHealth == LocalServiceHealth.HealthState.HEALTHY && !isOverQuota) {
            return Optional.empty();
        }
        for (List<RouteMerger.Candidate> candidates : preferenceTiers(now, call)) {
            double[] scores = new double[candidates.size()];
            for (int i = 0; i < scores.length; i++) {
                scores[i] = score(call.key(), candidates.get(i));
            }
            // The least first; what is full leaves its keys to the next of each.
            for (int tries = 0; tries < scores.length; tries++) {
                int best = 0;
                for (int i = 1; i < scores.length; i++) {
                    best = scores[i] < scores[best] ? i : best;
                }
                RouteMerger.Candidate candidate = candidates.get(best);
                RateWindow window = room(now, candidate);
                if (window != null && window.hasCapacity(now)) {
                    window.recordStart(now);
                    return Optional.of(new SelectedRoute(
                            candidate.partner(), candidate.route().address(), candidate.route().id()));
                }
                scores[best] = Double.POSITIVE_INFINITY;
            }
        }
        return Optional.empty();
    }

    /** What may be used, in parts that are equally good, best first. */
    private List<List<RouteMerger.Candidate>> preferenceTiers(Duration now, RoutedCall call) {
        List<List<RouteMerger.Candidate>> tiers = new ArrayList<>();
        if (call.mayHaveTakenEffect() && call.routingClass().retrySafety() != RetrySafety.IDEMPOTENT) {
            return tiers;
        }
        RouteMerger.Candidate previous = null;
        for (RouteMerger.Candidate candidate : routes.candidates(now, call.routingClass().name() + "/" + call.group())) {
            if (isPermitted(call.routingClass(), candidate.route())
                    && !call.attemptedAddresses().contains(candidate.route().address())) {
                if (previous == null
                        || !candidate.isEquallyGood(previous)
                        || routes.isStale(now, candidate.partner()) != routes.isStale(now, previous.partner())) {
                    tiers.add(new ArrayList<>());
                }
                tiers.get(tiers.size() - 1).add(candidate);
                previous = candidate;
            }
        }
        return tiers;
    }

    /** Whether calls of the tariff may go along the route at all. */
    static boolean isPermitted(RoutingClass routingClass, Route route) {
        return routingClass.mayLeaveSite()
                && (routingClass.retrySafety() != RetrySafety.NON_IDEMPOTENT || route.allowsNonIdempotent())
                && (routingClass.retrySafety() == RetrySafety.IDEMPOTENT
                        || !route.restrictions().idempotentOnly());
    }

    private RateWindow room(Duration now, RouteMerger.Candidate candidate) {
        String id =
                candidate.partner() + " " + candidate.route().callsPerSecond() + " " + candidate.route().id();
        RateWindow window = rateWindows.get(id);
        if (window == null) {
            if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                rateWindows.values().removeIf(room -> room.isIdle(now));
                if (rateWindows.size() >= MAX_RATE_WINDOWS) {
                    return null;
                }
            }
            window = new RateWindow(candidate.route().callsPerSecond(), backends);
            rateWindows.put(id, window);
        }
        return window;
    }

    /** Calls a second that this backend may send out in all, for the module: of the tariffs that may leave; rounded down. */
    public long room(Duration now, List<RoutingClass> routingClasses, String group) {
        long thousandths = 0;
        for (RoutingClass routingClass : routingClasses) {
            for (RouteMerger.Candidate candidate : routes.candidates(now, routingClass.name() + "/" + group)) {
                if (isPermitted(routingClass, candidate.route())) {
                    thousandths += RateWindow.callsPerThousandSeconds(candidate.route().callsPerSecond(), backends);
                }
            }
        }
        return thousandths / 1000;
    }

    /** The place's bid for the key: the least of them has it, each as often as it has calls of all. */
    static double score(String key, RouteMerger.Candidate candidate) {
        long hash = hash(key, candidate.partner() + candidate.route().address());
        double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
        return -Math.log(uniform) / candidate.route().callsPerSecond();
    }

    /** 64 bits of both: FNV-1a and then the finisher of SplittableRandom (Stafford's 13th), as serve has no library of hashes. */
    private static long hash(String key, String address) {
        long h = 0xcbf29ce484222325L;
        for (byte b : (key + '\n' + address).getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b) * 0x100000001b3L;
        }
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
