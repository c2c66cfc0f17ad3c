package merlinlever.policy;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Histogram of values from 1 with exponentially growing bins. All counts are halved when their total
 * exceeds a maximum.
 */
final class DecayingHistogram {
    private final double[] counts;
    private final double binRatio;
    private final double maxTotal;
    private double total;
    private double mean;

    DecayingHistogram(int bins, double binRatio, double maxTotal) {
        counts = new double[bins];
        this.binRatio = binRatio;
        this.maxTotal = maxTotal;
    }

    void add(double value) {
        counts[(int) Math.min(counts.length - 1, Math.log(Math.max(value, 1)) / Math.log(binRatio))]++;
        if (++total > maxTotal) {
            total /= 2;
            Arrays.setAll(counts, bin -> counts[bin] / 2);
        }
        double sum = IntStream.range(0, counts.length)
                .mapToDouble(bin -> counts[bin] * Math.pow(binRatio, bin + 0.5))
                .sum();
        mean = sum / total;
    }

    /** Returns the total of the counts, after halving. */
    double total() {
        return total;
    }

    /** Returns the mean of the values, approximated by the middles of their bins; 0 without values. */
    double mean() {
        return mean;
    }
}
