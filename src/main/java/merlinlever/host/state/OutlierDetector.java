package merlinlever.host.state;

import java.util.Arrays;

/**
 * Finds instances that are much slower than their peers: their capacity is compared with the median, with hysteresis, and
 * only where there are enough peers for a median to mean something.
 */
public final class OutlierDetector {

    private static final int MIN_PEERS = 3;
    /** Below this part of the median an instance counts as an outlier. */
    private static final double OUTLIER_FRACTION = 0.5;
    /** Above this part of the median an outlier counts as recovered. */
    private static final double RECOVERED_FRACTION = 0.7;
    /** So many samples in a row have to agree before the verdict changes. */
    private static final int SAMPLES_TO_CHANGE = 3;

    private final int[] contrarySamples;
    private final boolean[] outlier;

    /** A detector for so many instances, none of which is an outlier yet. */
    public OutlierDetector(int count) {
        contrarySamples = new int[count];
        outlier = new boolean[count];
    }

    /**
     * Takes one sample of the capacities of all instances.
     *
     * @param capacities by index, NaN for an instance that is warming up or whose capacity is not known
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

    /** Whether the instance with that index is an outlier by the samples so far. */
    public boolean isOutlier(int index) {
        return outlier[index];
    }
}
