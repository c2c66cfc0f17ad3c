package merlinlever.host.state;

import java.util.Arrays;

/**
 * Detects instances that are much slower than their peers: compares the capacity of each instance with the median, with
 * hysteresis, and only if there are enough instances for a meaningful median.
 */
public final class OutlierDetector {

    private static final int MIN_PEERS = 3;
    /** An instance below this fraction of the median is an outlier. */
    private static final double OUTLIER_FRACTION = 0.5;
    /** An outlier above this fraction of the median has recovered. */
    private static final double RECOVERED_FRACTION = 0.7;
    /** Number of consecutive samples after which the outlier status of an instance changes. */
    private static final int SAMPLES_TO_CHANGE = 3;

    private final int[] contrarySamples;
    private final boolean[] outlier;

    /** Creates a detector for the given number of instances, initially without outliers. */
    public OutlierDetector(int count) {
        contrarySamples = new int[count];
        outlier = new boolean[count];
    }

    /**
     * Adds one sample of the capacities of all instances.
     *
     * @param capacities by instance index; NaN for an instance that is warming up or has an unknown capacity
     */
    public void addSample(double[] capacities) {
        double[] known = Arrays.stream(capacities)
                .filter(capacity -> !Double.isNaN(capacity))
                .sorted()
                .toArray();
        for (int i = 0; i < capacities.length; i++) {
            if (known.length < MIN_PEERS) {
                contrarySamples[i] = 0;
                outlier[i] = false;
            } else if (Double.isNaN(capacities[i])) {
                contrarySamples[i] = 0;
            } else {
                compare(i, capacities[i] / known[known.length / 2]);
            }
        }
    }

    private void compare(int index, double fractionOfMedian) {
        boolean contrary = outlier[index] ? fractionOfMedian > RECOVERED_FRACTION : fractionOfMedian < OUTLIER_FRACTION;
        contrarySamples[index] = contrary ? contrarySamples[index] + 1 : 0;
        if (contrarySamples[index] >= SAMPLES_TO_CHANGE) {
            outlier[index] = !outlier[index];
            contrarySamples[index] = 0;
        }
    }

    /** Returns whether the instance with the given index is an outlier. */
    public boolean isOutlier(int index) {
        return outlier[index];
    }
}
