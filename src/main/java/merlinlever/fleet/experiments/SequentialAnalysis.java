package merlinlever.fleet.experiments;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import merlinlever.fleet.experiments.RunningMoments.Measure;

/**
 * Decides when an experiment is over, by a test that may be evaluated after every request: confidence sequences for the differences between
 * arms, which hold at all times at once, from a normal mixture of the likelihood ratio (A. Wald, 1945; H. Robbins, 1970; R. Johari et al.,
 * Always Valid Inference, 2017; S. Howard et al., Time-Uniform Confidence Sequences, 2021), with a variance that is estimated from the
 * buckets of callers (I. Waudby-Smith et al., Time-Uniform Central Limit Theory, 2021).
 *
 * <p>Three things widen the intervals while few requests are counted: the variance is never under that of as many independent requests with
 * the pooled mean; Student's distribution replaces the normal one, by the number of buckets; and there is a term for bounded summands, as
 * in Bernstein's inequality. The level is divided among the pairs of arms and the two measures.
 */
public final class SequentialAnalysis {

    /** Nothing is concluded about an arm with fewer requests. */
    static final int MIN_REQUESTS = 200;
    /** Nothing is concluded about an arm with fewer buckets that hold requests. */
    static final int MIN_BUCKETS = 8;
    /** The smallest difference that the intervals are tuned for. */
    private static final double MIN_TUNED_DIFFERENCE = 0.005;
    /** Each mixture is tuned for a difference so many times that of the one before. */
    private static final double MIXTURE_RATIO = 4;

    private static final int MIXTURES = 3;
    /** Keeps exp from overflowing; the interval is useless at this width anyway. */
    private static final double MAX_EXPONENT = 50;

    private static final Measure[] MEASURES = Measure.values();

    /** How much better one arm is than another, at all times with the probability of the level. */
    public record ConfidenceInterval(double low, double high) {}

    /** How much better one arm was than another, and what the width of its interval depends on. */
    private record EstimatedDifference(double difference, double variance, double degreesOfFreedom, double requests) {}

    /** Of one arm and measure: how far it is ahead of all others at least, and at most of the one it is least ahead of. */
    private static final class ArmBounds {
        private double low = 1;
        private double high = 1;

        void include(double newLow, double newHigh) {
            low = Math.min(low, newLow);
            high = Math.min(high, newHigh);
        }

        void includeNothingKnown() {
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
        // Each mixture is tightest where a difference of its own size is about to be detected: twice the smallest one
        // that
        // matters, and coarser ones.
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
     * @param splitTime how long callers have been split
     */
    public StoppingDecision evaluate(ExperimentCounts counts, Duration splitTime) {
        long[] callers = counts.sample.callersByArm(shares.length);
        if (SampleRatioCheck.isMismatch(callers, shares, counts.sample.level())) {
            return withSafeArm(StoppingDecision.Kind.INVALID, describeMismatch(callers));
        }
        if (counts.deaths() >= experiment.maxDeaths()) {
            return withSafeArm(StoppingDecision.Kind.HARM, counts.deaths() + " backends died while they split");
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

    /** The most certain harm of any arm compared with the safe one. */
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

    /** What the counts alone say. */
    StoppingDecision test(RunningMoments... arms) {
        for (RunningMoments arm : arms) {
            if (arm.requests() < MIN_REQUESTS || arm.buckets() < MIN_BUCKETS) {
                return withSafeArm(StoppingDecision.Kind.CONTINUE, "too few are counted");
            }
        }
        ArmBounds[][] bounds = new ArmBounds[arms.length][MEASURES.length];
        for (ArmBounds[] ofArm : bounds) {
            Arrays.setAll(ofArm, measure -> new ArmBounds());
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

    /** Includes the difference of a pair of arms in the bounds of both. */
    private void compare(RunningMoments[] arms, int i, int k, ArmBounds[][] bounds, WorstHarm worstHarm) {
        for (Measure measure : MEASURES) {
            ArmBounds boundsOfFirst = bounds[i][measure.ordinal()];
            ArmBounds boundsOfSecond = bounds[k][measure.ordinal()];
            EstimatedDifference estimate = estimate(arms[i], arms[k], measure);
            if (isInconclusive(estimate)) {
                boundsOfFirst.includeNothingKnown();
                boundsOfSecond.includeNothingKnown();
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

    /** The arm that is certainly better than all others by one measure, and by the other not certainly worse than any. */
    private Optional<StoppingDecision> winner(ArmBounds[][] bounds) {
        for (int arm = 0; arm < bounds.length; arm++) {
            for (Measure measure : MEASURES) {
                double low = bounds[arm][measure.ordinal()].low;
                double highOfOther = bounds[arm][1 - measure.ordinal()].high;
                if (low > experiment.minDifference() && highOfOther >= 0) {
                    String reason = experiment.arms().get(arm).name() + " is better by more than " + format(low)
                            + (measure == Measure.SERVED_SHARE ? " of the operations asked" : " of the highest value");
                    return Optional.of(new StoppingDecision(StoppingDecision.Kind.WINNER, arm, reason));
                }
            }
        }
        return Optional.empty();
    }

    /** Whether no arm can be better than all others by a difference that matters. */
    private boolean isFutile(ArmBounds[][] bounds) {
        return Arrays.stream(bounds).flatMap(Arrays::stream).allMatch(bound -> bound.high < experiment.minDifference());
    }

    /** Whether the interval, at either level, contains both zero and the smallest difference for certain; most evaluations end here. */
    private boolean isInconclusive(EstimatedDifference estimate) {
        double minSquare = estimate.variance * 2 * Math.log(1 / Math.max(winnerLevel, harmLevel));
        return estimate.difference * estimate.difference < minSquare
                && minSquare > experiment.minDifference() * experiment.minDifference();
    }

    private static String format(double difference) {
        return String.format(Locale.ROOT, "%.4f", difference);
    }

    /**
     * How much better the first arm is than the second, at all times with the given probability of being outside. Divided between the two by
     * their standard errors, these are intervals for each arm of which the first one's lower end is over the second one's upper end just
     * where the lower end here is over zero (H. Goldstein, M. Healy, 1995).
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
        // B. Welch's approximation (1947).
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
     * Half the width of the interval: of the normal mixtures at the information 1/variance the narrowest, each with its part of the level;
     * Student's distribution by D. Wallace's approximation (1959).
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
