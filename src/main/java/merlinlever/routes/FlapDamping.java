package merlinlever.routes;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Routes that come and go are left out for a while, by the figures of RFC 2439 and RFC 7196. */
public final class FlapDamping {

    /** @param suppress from which penalty on a route is left out, and reuse below which it is used again */
    public record FlapDampingSettings(
            double withdrawal, double change, double suppress, double reuse, Duration halfLife, double most) {
        /** The threshold that RFC 7196 recommends at the least; nothing is left out for more than an hour. */
        public static final FlapDampingSettings PUBLISHED =
                new FlapDampingSettings(1000, 500, 6000, 750, Duration.ofMinutes(15), 12_000);
    }

    private static final class RoutePenalty {
        double penalty;
        Duration at;
        boolean left;
    }

    /** Routes with a penalty at the most; beyond, no other gets one. */
    public static final int MOST = 16_384;

    private final FlapDampingSettings figures;
    private final Map<String, RoutePenalty> all = new TreeMap<>();

    public FlapDamping(FlapDampingSettings figures) {
        this.figures = figures;
    }

    private double penalty(Duration now, RoutePenalty figure) {
        return figure.penalty
                * Math.pow(
                        0.5,
                        now.minus(figure.at).toNanos()
                                / (double) figures.halfLife().toNanos());
    }

    void withdrawn(Duration now, String route) {
        add(now, route, figures.withdrawal());
    }

    void changed(Duration now, String route) {
        add(now, route, figures.change());
    }

    private void add(Duration now, String route, double more) {
        RoutePenalty its = all.get(route);
        if (its == null) {
            if (all.size() >= MOST) {
                all.values().removeIf(each -> penalty(now, each) < figures.reuse() / 2);
                if (all.size() >= MOST) {
                    return;
                }
            }
            all.put(route, its = new RoutePenalty());
            its.at = now;
        }
        its.penalty = Math.min(figures.most(), penalty(now, its) + more);
        its.at = now;
        its.left |= its.penalty >= figures.suppress();
    }

    /** Whether it is left out now. */
    public boolean leftOut(Duration now, String route) {
        RoutePenalty its = all.get(route);
        if (its == null) {
            return false;
        }
        double penalty = penalty(now, its);
        its.left &= penalty >= figures.reuse();
        if (penalty < figures.reuse() / 2) {
            all.remove(route);
        }
        return its.left;
    }

    int size() {
        return all.size();
    }
}
