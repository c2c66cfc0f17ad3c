package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Suppresses for a while routes that come and go, as RFC 2439 and RFC 7196 say. Times are since the process began. Not thread-safe.
 */
public final class FlapDamping {

    /**
     * Penalties without a unit.
     *
     * @param withdrawalPenalty for a route that is withdrawn
     * @param changePenalty for one that changes
     * @param suppressThreshold from this penalty on a route is suppressed
     * @param reuseThreshold below this penalty it is used again
     * @param halfLife in which a penalty decays to half
     * @param maxPenalty upper bound
     */
    public record FlapDampingSettings(
            double withdrawalPenalty,
            double changePenalty,
            double suppressThreshold,
            double reuseThreshold,
            Duration halfLife,
            double maxPenalty) {
        /** With the lowest threshold that RFC 7196 recommends; nothing is suppressed for more than an hour. */
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

    /** Upper bound of the routes with a penalty; further ones get none. */
    public static final int MAX_ROUTES = 16_384;

    private final FlapDampingSettings settings;
    private final Map<String, RoutePenalty> penalties = new TreeMap<>();

    /** A damping without any penalty yet. */
    public FlapDamping(FlapDampingSettings settings) {
        this.settings = settings;
    }

    private double decayedPenalty(Duration now, RoutePenalty entry) {
        long ageNanos = now.minus(entry.updatedAt).toNanos();
        double halfLives = ageNanos / (double) settings.halfLife().toNanos();
        return entry.penalty * Math.pow(0.5, halfLives);
    }

    /** Below this a penalty is forgotten. */
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
        RoutePenalty entry = penalties.get(route);
        if (entry == null) {
            if (penalties.size() >= MAX_ROUTES) {
                penalties.values().removeIf(candidate -> decayedPenalty(now, candidate) < negligiblePenalty());
                if (penalties.size() >= MAX_ROUTES) {
                    return;
                }
            }
            entry = new RoutePenalty(now);
            penalties.put(route, entry);
        }
        entry.penalty = Math.min(settings.maxPenalty(), decayedPenalty(now, entry) + increase);
        entry.updatedAt = now;
        entry.suppressed |= entry.penalty >= settings.suppressThreshold();
    }

    /** Whether the route is suppressed now. */
    public boolean isSuppressed(Duration now, String route) {
        RoutePenalty entry = penalties.get(route);
        if (entry == null) {
            return false;
        }
        double penalty = decayedPenalty(now, entry);
        entry.suppressed &= penalty >= settings.reuseThreshold();
        if (penalty < negligiblePenalty()) {
            penalties.remove(route);
        }
        return entry.suppressed;
    }

    int size() {
        return penalties.size();
    }
}
