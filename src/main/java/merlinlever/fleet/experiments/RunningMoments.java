package merlinlever.fleet.experiments;

/**
 * Sums of requests, served requests and values over the buckets of one arm, updated incrementally when a bucket
 * changes.
 */
final class RunningMoments {

    /** The measure by which arms are compared. */
    enum Measure {
        /** Share of requests that were served in time. */
        SERVED_SHARE,
        /** Mean value of a request as a fraction of the maximum value. */
        MEAN_VALUE
    }

    /** The sums of one bucket; the value is a fraction of the maximum value. */
    record BucketSums(double requests, double served, double value) {
        static final BucketSums EMPTY = new BucketSums(0, 0, 0);
    }

    private int buckets;
    private double requests;
    private double served;
    private double value;
    private double requestsSquared;
    private double servedSquared;
    private double valueSquared;
    private double requestsTimesServed;
    private double requestsTimesValue;
    private double meanSquareValue;

    /** Returns the number of buckets with at least one request. */
    int buckets() {
        return buckets;
    }

    double requests() {
        return requests;
    }

    double served() {
        return served;
    }

    double total(Measure measure) {
        return measure == Measure.MEAN_VALUE ? value : served;
    }

    /** Returns the mean square of the values of single requests. */
    double meanSquareValue() {
        return meanSquareValue;
    }

    void setMeanSquareValue(double meanSquare) {
        meanSquareValue = meanSquare;
    }

    /** Replaces the sums of one bucket. */
    void update(BucketSums before, BucketSums after) {
        buckets += (after.requests > 0 ? 1 : 0) - (before.requests > 0 ? 1 : 0);
        requests += after.requests - before.requests;
        served += after.served - before.served;
        value += after.value - before.value;
        requestsSquared += after.requests * after.requests - before.requests * before.requests;
        servedSquared += after.served * after.served - before.served * before.served;
        valueSquared += after.value * after.value - before.value * before.value;
        requestsTimesServed += after.requests * after.served - before.requests * before.served;
        requestsTimesValue += after.requests * after.value - before.requests * before.value;
    }

    double mean(Measure measure) {
        return total(measure) / requests;
    }

    /**
     * Estimates the variance of the mean from the differences between buckets, as the variance of a ratio of sums over
     * independent groups (W. Cochran, Sampling Techniques, 1977, 6.3). A caller with many requests, or only failing
     * ones, therefore counts as part of a single group.
     */
    double variance(Measure measure) {
        double mean = mean(measure);
        double squares = measure == Measure.MEAN_VALUE
                ? valueSquared - 2 * mean * requestsTimesValue
                : servedSquared - 2 * mean * requestsTimesServed;
        return Math.max(0, squares + mean * mean * requestsSquared)
                / requests
                / requests
                * buckets
                / Math.max(1, buckets - 1);
    }
}
