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
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** @param leaves whether it may leave the site; for binding work the route has to say so as well */
    public record RoutingClass(String name, RetrySafety kind, boolean leaves) {}

    /** @param tried places that this operation's calls were sent to already
     *  @param missing whether one of those calls may have had its effect: its answer never came */
    public record RoutedCall(RoutingClass tariff, String group, String key, Set<String> tried, boolean missing) {}

    /** Where it goes. */
    public record SelectedRoute(String site, String place, String route) {}

    /** Routes whose begins are remembered; what is over is used no more than if it were full. */
    private static final int MOST_ROOMS = 4096;

    private final RoutingTable routes;
    private final int backends;
    private final Map<String, RateWindow> rooms = new LinkedHashMap<>();

    /** @param backends of this site that divide the room of each route: the most that there ever are */
    public RouteSelector(RoutingTable routes, int backends) {
        this.routes = routes;
        this.backends = backends;
    }

    /** The way of a call and what it takes of its room; empty where it stays, or has nowhere to go. */
    public Optional<SelectedRoute> way(
            Duration now, RoutedCall call, LocalServiceHealth.HealthState own, boolean overShare) {
        if (own == LocalServiceHealth.HealthState.GOOD && !overShare) {
            return Optional.empty();
        }
        for (List<RouteMerger.Candidate> tier : tiers(now, call)) {
            double[] score = new double[tier.size()];
            for (int i = 0; i < score.length; i++) {
                score[i] = score(call.key(), tier.get(i));
            }
            // The least first; what is full leaves its keys to the next of each.
            for (int tries = 0; tries < score.length; tries++) {
                int least = 0;
                for (int i = 1; i < score.length; i++) {
                    least = score[i] < score[least] ? i : least;
                }
                RouteMerger.Candidate its = tier.get(least);
                RateWindow room = room(now, its);
                if (room != null && room.allows(now)) {
                    room.begin(now);
                    return Optional.of(new SelectedRoute(
                            its.from(), its.route().place(), its.route().id()));
                }
                score[least] = Double.POSITIVE_INFINITY;
            }
        }
        return Optional.empty();
    }

    /** What may be used, in parts that are equally good, best first. */
    private List<List<RouteMerger.Candidate>> tiers(Duration now, RoutedCall call) {
        List<List<RouteMerger.Candidate>> tiers = new ArrayList<>();
        if (call.missing() && call.tariff().kind() != RetrySafety.RETRIABLE) {
            return tiers;
        }
        RouteMerger.Candidate last = null;
        for (RouteMerger.Candidate each : routes.ways(now, call.tariff().name() + "/" + call.group())) {
            if (mayGo(call.tariff(), each.route())
                    && !call.tried().contains(each.route().place())) {
                if (last == null
                        || !each.asGoodAs(last)
                        || routes.stale(now, each.from()) != routes.stale(now, last.from())) {
                    tiers.add(new ArrayList<>());
                }
                tiers.get(tiers.size() - 1).add(each);
                last = each;
            }
        }
        return tiers;
    }

    /** Whether calls of the tariff may go along the route at all. */
    static boolean mayGo(RoutingClass tariff, Route route) {
        return tariff.leaves()
                && (tariff.kind() != RetrySafety.BINDING || route.binding())
                && (tariff.kind() == RetrySafety.RETRIABLE
                        || !route.restrictions().retriableOnly());
    }

    private RateWindow room(Duration now, RouteMerger.Candidate each) {
        String id =
                each.from() + " " + each.route().calls() + " " + each.route().id();
        RateWindow its = rooms.get(id);
        if (its == null) {
            if (rooms.size() >= MOST_ROOMS) {
                rooms.values().removeIf(room -> room.idle(now));
                if (rooms.size() >= MOST_ROOMS) {
                    return null;
                }
            }
            its = new RateWindow(each.route().calls(), backends);
            rooms.put(id, its);
        }
        return its;
    }

    /** Calls a second that this backend may send out in all, for the module: of the tariffs that may leave; rounded down. */
    public long room(Duration now, List<RoutingClass> tariffs, String group) {
        long thousandths = 0;
        for (RoutingClass tariff : tariffs) {
            for (RouteMerger.Candidate each : routes.ways(now, tariff.name() + "/" + group)) {
                if (mayGo(tariff, each.route())) {
                    thousandths += RateWindow.perThousandSeconds(each.route().calls(), backends);
                }
            }
        }
        return thousandths / 1000;
    }

    /** The place's bid for the key: the least of them has it, each as often as it has calls of all. */
    static double score(String key, RouteMerger.Candidate each) {
        long hash = hash(key, each.from() + each.route().place());
        double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
        return -Math.log(uniform) / each.route().calls();
    }

    /** 64 bits of both: FNV-1a and then the finisher of SplittableRandom (Stafford's 13th), as serve has no library of hashes. */
    private static long hash(String key, String place) {
        long h = 0xcbf29ce484222325L;
        for (byte b : (key + '\n' + place).getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b) * 0x100000001b3L;
        }
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
