package merlinlever.fleet.experiments;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import merlinlever.fleet.experiments.RunningMoments.Measure;

/**
 * Decides when an experiment ends, by a sequential test that may be evaluated after every request. The test uses
 * confidence sequences for the differences between arms, which hold simultaneously at all times, from a normal mixture
 * of the likelihood ratio (A. Wald, 1945; H. Robbins, 1970; R. Johari et al., Always Valid Inference, 2017; S. Howard
 * et al., Time-Uniform Confidence Sequences, 2021), with a variance estimated from the buckets of callers (I.
 * Waudby-Smith et al., Time-Uniform Central Limit Theory, 2021).
 *
 * <p>Three corrections widen the intervals while the counts are low: the variance is at least the variance of the same
 * number of independent requests with the pooled mean; Student's distribution, with degrees of freedom from the number
 * of buckets, replaces the normal distribution; and a term for bounded summands is added, as in Bernstein's inequality.
 * The significance level is divided among the pairs of arms and the two measures.
 */
public final class SequentialAnalysis {

    /** Minimum number of requests of each arm for a conclusion. */
    static final int MIN_REQUESTS = 200;
    /** Minimum number of non-empty buckets of each arm for a conclusion. */
    static final int MIN_BUCKETS = 8;
    /** Smallest difference for which the intervals are tuned. */
    private static final double MIN_TUNED_DIFFERENCE = 0.005;
    /** Ratio of the differences for which two successive mixtures are tuned. */
    private static final double MIXTURE_RATIO = 4;

    private static final int MIXTURES = 3;
    /** Prevents an overflow of exp; an interval of this width is inconclusive in any case. */
    private static final double MAX_EXPONENT = 50;

    private static final Measure[] MEASURES = Measure.values();

    /** Confidence interval for the lead of one arm over another, valid simultaneously at all times. */
    public record ConfidenceInterval(double low, double high) {}

    /** Estimated lead of one arm over another, with the parameters of the width of its confidence interval. */
    private record EstimatedDifference(double difference, double variance, double degreesOfFreedom, double requests) {}

    /** The smallest lower bound and the smallest upper bound of an arm's leads over all other arms, by one measure. */
    private static final class ArmBounds {
        private double low = 1;
        private double high = 1;

        void include(double newLow, double newHigh) {
            low = Math.min(low, newLow);
            high = Math.min(high, newHigh);
        }

        void includeUnknownDifference() {
            low = -1;
        }
    }

    private final Experiment experiment;
    private final double[] shares;
    private final double[] mixtureInformation = new double[MIXTURES];
    private final double winnerLevel;
    private final double harmLevel;

    /** Prepares the test for an experiment. */
    public SequentialAnalysis(Experiment experiment) {
        this.experiment = experiment;
        BucketAssignment assignment = new BucketAssignment(experiment);
        int arms = experiment.arms().size();
        shares = new double[arms];
        Arrays.setAll(shares, assignment::share);
        // Each mixture is tightest for the detection of a difference of one size: the first mixture for twice the
        // configured minimum, the others for larger differences.
        for (int i = 0; i < MIXTURES; i++) {
            double size = 2 * Math.max(MIN_TUNED_DIFFERENCE, experiment.minDifference()) * Math.pow(MIXTURE_RATIO, i);
            mixtureInformation[i] = 1.5 / (size * size);
        }
        winnerLevel = experiment.alpha() / (arms * (arms - 1));
        harmLevel = 2 * experiment.harmAlpha() / (2 * (arms - 1));
    }

    /**
     * Evaluates the experiment.
     *
     * @param splitTime time for which callers have been split among the arms
     */
    public StoppingDecision evaluate(ExperimentCounts counts, Duration splitTime) {
        long[] callers = counts.sample.callersByArm(shares.length);
        if (SampleRatioCheck.isMismatch(callers, shares, counts.sample.level())) {
            return withSafeArm(StoppingDecision.Kind.INVALID, describeMismatch(callers));
        }
        if (counts.crashes() >= experiment.maxCrashes()) {
            return withSafeArm(StoppingDecision.Kind.HARM, counts.crashes() + " backends died while they split");
        }
        RunningMoments[] arms = new RunningMoments[shares.length];
        Arrays.setAll(arms, counts::moments);
        StoppingDecision decision = test(arms);
        return decision.isFinal() || splitTime.compareTo(experiment.maxDuration()) < 0
                ? decision
                : withSafeArm(StoppingDecision.Kind.TIME_LIMIT, "no difference was shown in the longest time");
    }

    private StoppingDecision withSafeArm(StoppingDecision.Kind kind, String reason) {
        return new StoppingDecision(kind, experiment.safeArm(), reason);
    }

    private String describeMismatch(long[] callers) {
        StringBuilder reason = new StringBuilder("the split is not the stated one: of the sampled callers ");
        for (int arm = 0; arm < callers.length; arm++) {
            reason.append(arm == 0 ? "" : ", ")
                    .append(callers[arm])
                    .append(" of ")
                    .append(experiment.arms().get(arm).name());
        }
        return reason.toString();
    }

    /** The largest lower bound of the safe arm's lead over another arm. */
    private static final class WorstHarm {
        private double lead;
        private Optional<Integer> arm = Optional.empty();

        void include(double safeArmLead, int otherArm) {
            if (safeArmLead > lead) {
                lead = safeArmLead;
                arm = Optional.of(otherArm);
            }
        }
    }

    /** Evaluates the counts without the time limit and without the checks for sample ratio mismatch and crashes. */
    StoppingDecision test(RunningMoments... arms) {
        for (RunningMoments arm : arms) {
            if (arm.requests() < MIN_REQUESTS || arm.buckets() < MIN_BUCKETS) {
                return withSafeArm(StoppingDecision.Kind.CONTINUE, "too few are counted");
            }
        }
        ArmBounds[][] bounds = new ArmBounds[arms.length][MEASURES.length];
        for (ArmBounds[] armBounds : bounds) {
            Arrays.setAll(armBounds, measure -> new ArmBounds());
        }
        WorstHarm worstHarm = new WorstHarm();
        for (int i = 0; i < arms.length; i++) {
            for (int k = i + 1; k < arms.length; k++) {
                compare(arms, i, k, bounds, worstHarm);
            }
        }
        Optional<StoppingDecision> winner = winner(bounds);
        if (winner.isPresent()) {
            return winner.get();
        }
        if (worstHarm.arm.isPresent()) {
            return withSafeArm(
                    StoppingDecision.Kind.HARM,
                    experiment.arms().get(worstHarm.arm.get()).name() + " is worse than the safe arm by more than "
                            + format(worstHarm.lead));
        }
        return isFutile(bounds)
                ? withSafeArm(StoppingDecision.Kind.FUTILE, "none is better than another by the smallest difference")
                : withSafeArm(StoppingDecision.Kind.CONTINUE, "nothing is shown yet");
    }

    /** Includes the difference of a pair of arms in the bounds of both arms. */
    private void compare(RunningMoments[] arms, int i, int k, ArmBounds[][] bounds, WorstHarm worstHarm) {
        for (Measure measure : MEASURES) {
            ArmBounds boundsOfFirst = bounds[i][measure.ordinal()];
            ArmBounds boundsOfSecond = bounds[k][measure.ordinal()];
            EstimatedDifference estimate = estimate(arms[i], arms[k], measure);
            if (isInconclusive(estimate)) {
                boundsOfFirst.includeUnknownDifference();
                boundsOfSecond.includeUnknownDifference();
                continue;
            }
            double difference = estimate.difference;
            double radius = radius(estimate, winnerLevel);
            boundsOfFirst.include(difference - radius, difference + radius);
            boundsOfSecond.include(-difference - radius, -difference + radius);
            if (i == experiment.safeArm()) {
                worstHarm.include(difference - radius(estimate, harmLevel), k);
            } else if (k == experiment.safeArm()) {
                worstHarm.include(-difference - radius(estimate, harmLevel), i);
            }
        }
    }

    /**
     * Returns the arm that is significantly better than all others by one measure and not significantly worse than any
     * by the other.
     */
    private Optional<StoppingDecision> winner(ArmBounds[][] bounds) {
        for (int arm = 0; arm < bounds.length; arm++) {
            for (Measure measure : MEASURES) {
                double low = bounds[arm][measure.ordinal()].low;
                double highByOtherMeasure = bounds[arm][1 - measure.ordinal()].high;
                if (low > experiment.minDifference() && highByOtherMeasure >= 0) {
                    String reason = experiment.arms().get(arm).name() + " is better by more than " + format(low)
                            + (measure == Measure.SERVED_SHARE ? " of the operations asked" : " of the highest value");
                    return Optional.of(new StoppingDecision(StoppingDecision.Kind.WINNER, arm, reason));
                }
            }
        }
        return Optional.empty();
    }

    /** Returns whether the bounds exclude that any arm leads all others by the configured minimum difference. */
    private boolean isFutile(ArmBounds[][] bounds) {
        return Arrays.stream(bounds).flatMap(Arrays::stream).allMatch(bound -> bound.high < experiment.minDifference());
    }

    /**
     * Returns whether the interval surely contains zero and the minimum difference at both levels, which saves
     * computing it.
     */
    private boolean isInconclusive(EstimatedDifference estimate) {
        double minSquare = estimate.variance * 2 * Math.log(1 / Math.max(winnerLevel, harmLevel));
        return estimate.difference * estimate.difference < minSquare
                && minSquare > experiment.minDifference() * experiment.minDifference();
    }

    private static String format(double difference) {
        return String.format(Locale.ROOT, "%.4f", difference);
    }

    /**
     * Returns the confidence interval for the lead of the first arm over the second. The probability that the true lead
     * is ever outside of the interval is at most the level. If the interval is divided between the arms in proportion
     * to their standard errors, the two resulting intervals are disjoint, with the first one higher, exactly if the
     * lower end of this interval is above zero (H. Goldstein, M. Healy, 1995).
     */
    ConfidenceInterval interval(RunningMoments first, RunningMoments second, Measure measure, double level) {
        EstimatedDifference estimate = estimate(first, second, measure);
        double radius = radius(estimate, level);
        return new ConfidenceInterval(estimate.difference - radius, estimate.difference + radius);
    }

    private static EstimatedDifference estimate(RunningMoments first, RunningMoments second, Measure measure) {
        double requests = first.requests() + second.requests() + 2;
        double pooledMean = (first.total(measure) + second.total(measure) + 1) / requests;
        double requestVariance;
        if (measure == Measure.MEAN_VALUE) {
            double pooledSquare =
                    (first.meanSquareValue() * first.requests() + second.meanSquareValue() * second.requests() + 1)
                            / requests;
            requestVariance = Math.max(0, pooledSquare - pooledMean * pooledMean);
        } else {
            requestVariance = pooledMean * (1 - pooledMean);
        }
        double varianceOfFirst = Math.max(first.variance(measure), requestVariance / first.requests());
        double varianceOfSecond = Math.max(second.variance(measure), requestVariance / second.requests());
        double variance = varianceOfFirst + varianceOfSecond;
        // Approximation by B. Welch (1947).
        double degreesOfFreedom = variance
                * variance
                / (varianceOfFirst * varianceOfFirst / (first.buckets() - 1)
                        + varianceOfSecond * varianceOfSecond / (second.buckets() - 1));
        return new EstimatedDifference(
                first.mean(measure) - second.mean(measure),
                variance,
                degreesOfFreedom,
                Math.min(first.requests(), second.requests()));
    }

    /**
     * Returns half the width of the narrowest interval among the normal mixtures at the information 1/variance, each
     * with an equal part of the level. Student's distribution is approximated as by D. Wallace (1959).
     */
    private double radius(EstimatedDifference estimate, double level) {
        double information = 1 / estimate.variance;
        double narrowest = Double.MAX_VALUE;
        for (double mixture : mixtureInformation) {
            double width = (1 + mixture / information)
                    * (Math.log(1 + information / mixture) + 2 * Math.log(MIXTURES / level));
            narrowest = Math.min(narrowest, width);
        }
        double exponent = Math.min(MAX_EXPONENT, narrowest / estimate.degreesOfFreedom);
        return Math.sqrt(estimate.variance * estimate.degreesOfFreedom * (Math.exp(exponent) - 1))
                + Math.log(2 / level) / 3 / estimate.requests;
    }
}
