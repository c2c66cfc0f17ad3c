package merlinlever.routes;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Routes that come and go are left out for a while, by the figures of RFC 2439 and RFC 7196. */
public final class FlapDamping {

    /** @param suppressThreshold from which penalty on a route is left out, and reuse below which it is used again */
    public record FlapDampingSettings(
            double withdrawalPenalty, double changePenalty, double suppressThreshold, double reuseThreshold, Duration halfLife, double maxPenalty) {
        /** The threshold that RFC 7196 recommends at the least; nothing is left out for more than an hour. */
        public static final FlapDampingSettings RECOMMENDED =
                new FlapDampingSettings(1000, 500, 6000, 750, Duration.ofMinutes(15), 12_000);
    }

    private static final class RoutePenalty {
        double penalty;
        Duration updatedAt;
        boolean suppressed;
    }

    /** Routes with a penalty at the most; beyond, no other gets one. */
    public static final int MAX_ROUTES = 16_384;

    private final FlapDampingSettings settings;
    private final Map<String, RoutePenalty> penalties = new TreeMap<>();

    public FlapDamping(FlapDampingSettings settings) {
        this.settings = settings;
    }

    private double penalty(Duration now, RoutePenalty entry) {
        return entry.penalty
                * Math.pow(
                        0.5,
                        now.minus(entry.updatedAt).toNanos()
                                / (double) settings.halfLife().toNanos());
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
                penalties.values().removeIf(candidate -> penalty(now, candidate) < settings.reuseThreshold() / 2);
                if (penalties.size() >= MAX_ROUTES) {
                    return;
                }
            }
            penalties.put(route, entry = new RoutePenalty());
            entry.updatedAt = now;
        }
        entry.penalty = Math.min(settings.maxPenalty(), penalty(now, entry) + increase);
        entry.updatedAt = now;
        entry.suppressed |= entry.penalty >= settings.suppressThreshold();
    }

    /** Whether it is left out now. */
    public boolean isSuppressed(Duration now, String route) {
        RoutePenalty entry = penalties.get(route);
        if (entry == null) {
            return false;
        }
        double penalty = penalty(now, entry);
        entry.suppressed &= penalty >= settings.reuseThreshold();
        if (penalty < settings.reuseThreshold() / 2) {
            penalties.remove(route);
        }
        return entry.suppressed;
    }

    int size() {
        return penalties.size();
    }
}
