package merlinlever.policy;

import static merlinlever.Durations.*;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.IntStream;

/** How long the runs of a tariff have taken, and how long one is likely to take. */
final class RunTimeEstimator {
    private final Histogram runs = new Histogram(), perHint = new Histogram();

    /** Times in coarse bins, each half as wide again as the last, halved now and then. */
    private static final class Histogram {
        private final double[] bins = new double[32];
        private double total, mean;

        void add(double ms) {
            bins[(int) Math.min(bins.length - 1, Math.log(Math.max(ms, 1)) / Math.log(1.5))]++;
            if (++total > 60) {
                total /= 2;
                Arrays.setAll(bins, i -> bins[i] / 2);
            }
            mean = IntStream.range(0, 32)
                            .mapToDouble(i -> bins[i] * Math.pow(1.5, i + 0.5))
                            .sum()
                    / total;
        }
    }

    void add(double ms, double hintMs) {
        runs.add(ms);
        if (hintMs > 0) {
            perHint.add(100 * ms / hintMs);
        }
    }

    double meanMs() {
        return runs.mean;
    }

    /**
     * The likely run time: by the hint under pressure only, or large ones were refused where is room; else at
     * most half the soft limit, or a machine that was slow would never learn better.
     */
    Duration usual(double hintMs, boolean pressed, Duration softLimit) {
        return hintMs > 0 && perHint.total > 5 && pressed
                ? ofMillis(hintMs * perHint.mean / 100)
                : earlier(ofMillis(runs.mean), softLimit.dividedBy(2));
    }
}
