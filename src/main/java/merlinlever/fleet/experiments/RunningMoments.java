package merlinlever.fleet.experiments;

/** Sums over the buckets of one arm, of requests, served requests and value; updated as single buckets change. */
final class RunningMoments {

    /** What is compared between arms. */
    enum Measure {
        /** The share of requests that were served in time. */
        SERVED_SHARE,
        /** The mean value of a request, as a part of the highest one. */
        MEAN_VALUE
    }

    /** What a bucket holds; the value is a part of the highest one. */
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

    /** Buckets that hold any request. */
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

    /** The mean square of the values of single requests. */
    double meanSquareValue() {
        return meanSquareValue;
    }

    void setMeanSquareValue(double meanSquare) {
        meanSquareValue = meanSquare;
    }

    /** The sums of one bucket have changed. */
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
     * The variance of the mean, from how far the buckets lie apart: that of a ratio of sums over independent groups (W. Cochran, Sampling
     * Techniques, 1977, 6.3), so that callers of many requests, or of failing ones only, don't count for more than one group.
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
