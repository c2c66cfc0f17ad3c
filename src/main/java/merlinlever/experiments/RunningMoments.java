package merlinlever.experiments;

/** Sums over the buckets of one arm, kept up as a bucket changes: operations, satisfied ones, value (a part of the highest). */
final class RunningMoments {

    int buckets;
    double asked;
    double satisfied;
    double value;
    private double askedAsked;
    private double satisfiedSatisfied;
    private double valueValue;
    private double askedSatisfied;
    private double askedValue;
    /** Of the values of single operations, the mean square. */
    double square;

    /** A bucket held so much, and now holds so much. */
    void change(
            double fromAsked,
            double fromSatisfied,
            double fromValue,
            double toAsked,
            double toSatisfied,
            double toValue) {
        buckets += (toAsked > 0 ? 1 : 0) - (fromAsked > 0 ? 1 : 0);
        asked += toAsked - fromAsked;
        satisfied += toSatisfied - fromSatisfied;
        value += toValue - fromValue;
        askedAsked += toAsked * toAsked - fromAsked * fromAsked;
        satisfiedSatisfied += toSatisfied * toSatisfied - fromSatisfied * fromSatisfied;
        valueValue += toValue * toValue - fromValue * fromValue;
        askedSatisfied += toAsked * toSatisfied - fromAsked * fromSatisfied;
        askedValue += toAsked * toValue - fromAsked * fromValue;
    }

    /** The satisfied share of what was asked, or the mean value. */
    double mean(boolean ofValue) {
        return (ofValue ? value : satisfied) / asked;
    }

    /**
     * The variance of that mean, from how far the buckets lie apart: that of a ratio of sums over independent groups (W. Cochran,
     * Sampling Techniques, 1977, 6.3), so that callers who ask often, or fail always, are no more than what they are.
     */
    double variance(boolean ofValue) {
        double mean = mean(ofValue);
        double squares = ofValue ? valueValue - 2 * mean * askedValue : satisfiedSatisfied - 2 * mean * askedSatisfied;
        return Math.max(0, squares + mean * mean * askedAsked) / asked / asked * buckets / Math.max(1, buckets - 1);
    }
}
