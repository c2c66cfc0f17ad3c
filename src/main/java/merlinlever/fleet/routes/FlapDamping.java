package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Route flap damping as in RFC 2439 and RFC 7196: temporarily suppresses routes that are withdrawn or changed often.
 * Times are durations since the start of the process. Not thread-safe.
 */
public final class FlapDamping {

    /**
     * The damping settings. Penalties have no unit.
     *
     * @param withdrawalPenalty penalty for the withdrawal of a route
     * @param changePenalty penalty for a change of a route
     * @param suppressThreshold a route with this penalty or a higher one is suppressed
     * @param reuseThreshold a suppressed route is used again when its penalty drops below this threshold
     * @param halfLife time in which a penalty decays to half its value
     * @param maxPenalty upper bound of the penalty of a route
     */
    public record FlapDampingSettings(
            double withdrawalPenalty,
            double changePenalty,
            double suppressThreshold,
            double reuseThreshold,
            Duration halfLife,
            double maxPenalty) {
        /** Settings with the lowest threshold that RFC 7196 recommends. They suppress a route for at most an hour. */
        public static final FlapDampingSettings RECOMMENDED =
                new FlapDampingSettings(1000, 500, 6000, 750, Duration.ofMinutes(15), 12_000);
    }

    private static final class RoutePenalty {
        private double penalty;
        private Duration updatedAt;
        private boolean suppressed;

        RoutePenalty(Duration updatedAt) {
            this.updatedAt = updatedAt;
        }
    }

    /** Maximum number of routes that have a penalty. Routes beyond this limit are not damped. */
    public static final int MAX_ROUTES = 16_384;

    private final FlapDampingSettings settings;
    private final Map<String, RoutePenalty> penalties = new TreeMap<>();

    /** Creates a flap damping without penalties. */
    public FlapDamping(FlapDampingSettings settings) {
        this.settings = settings;
    }

    private double decayedPenalty(Duration now, RoutePenalty routePenalty) {
        long ageNanos = now.minus(routePenalty.updatedAt).toNanos();
        double halfLives = ageNanos / (double) settings.halfLife().toNanos();
        return routePenalty.penalty * Math.pow(0.5, halfLives);
    }

    /** The threshold below which the penalty of a route is discarded. */
    private double negligiblePenalty() {
        return settings.reuseThreshold() / 2;
    }

    void recordWithdrawal(Duration now, String route) {
        addPenalty(now, route, settings.withdrawalPenalty());
    }

    void recordChange(Duration now, String route) {
        addPenalty(now, route, settings.changePenalty());
    }

    private void addPenalty(Duration now, String route, double increase) {
        RoutePenalty routePenalty = penalties.get(route);
        if (routePenalty == null) {
            if (penalties.size() >= MAX_ROUTES) {
                penalties.values().removeIf(oldPenalty -> decayedPenalty(now, oldPenalty) < negligiblePenalty());
                if (penalties.size() >= MAX_ROUTES) {
                    return;
                }
            }
            routePenalty = new RoutePenalty(now);
            penalties.put(route, routePenalty);
        }
        routePenalty.penalty = Math.min(settings.maxPenalty(), decayedPenalty(now, routePenalty) + increase);
        routePenalty.updatedAt = now;
        routePenalty.suppressed |= routePenalty.penalty >= settings.suppressThreshold();
    }

    /** Whether the route is suppressed at the given time. */
    public boolean isSuppressed(Duration now, String route) {
        RoutePenalty routePenalty = penalties.get(route);
        if (routePenalty == null) {
            return false;
        }
        double penalty = decayedPenalty(now, routePenalty);
        routePenalty.suppressed &= penalty >= settings.reuseThreshold();
        if (penalty < negligiblePenalty()) {
            penalties.remove(route);
        }
        return routePenalty.suppressed;
    }

    int size() {
        return penalties.size();
    }
}
