package merlinlever.experiments;

import java.time.Duration;
import java.util.Locale;

/**
 * When a trial is over, by a test that may be looked at after every operation: bounds for the difference of two arms that hold at
 * all times at once, from a normal mixture of the likelihood ratio (A. Wald, 1945; H. Robbins, 1970; R. Johari et al., Always Valid
 * Inference, 2017; S. Howard et al., Time-Uniform Confidence Sequences, 2021), with a variance that is estimated from the buckets of
 * callers (I. Waudby-Smith et al., Time-Uniform Central Limit Theory, 2021).
 *
 * <p>Three things make the bounds wider where few are counted: the variance is never under that of as many single operations of
 * the pooled mean; Student's distribution stands for the normal one, by the number of buckets; and a term for bounded summands, as in
 * Bernstein's inequality. The level is divided among the pairs of arms and the two measures.
 */
public final class SequentialAnalysis {

    /** Nothing is said of an arm with fewer operations, or fewer buckets that hold any. */
    static final int LEAST_ASKED = 200;

    static final int LEAST_BUCKETS = 8;
    /** A difference under this is not what the bounds are made for. */
    private static final double FINEST = 0.005;

    private static final double COARSER = 4;

    /** How much better the one arm is than the other, between these at all times. */
    public record ConfidenceInterval(double low, double high) {}

    private final Experiment trial;
    private final double[] parts;
    private final double[] nearness = new double[3];
    private final double level;
    private final double harm;

    public SequentialAnalysis(Experiment trial) {
        this.trial = trial;
        BucketAssignment split = new BucketAssignment(trial);
        int arms = trial.arms().size();
        parts = new double[arms];
        for (int arm = 0; arm < arms; arm++) {
            parts[arm] = split.part(arm);
        }
        // Each mixture is tightest where a difference of its own size is about to be seen: twice the smallest one, and
        // coarser ones.
        for (int i = 0; i < nearness.length; i++) {
            double size = 2 * Math.max(FINEST, trial.difference()) * Math.pow(COARSER, i);
            nearness[i] = 1.5 / (size * size);
        }
        level = trial.alpha() / (arms * (arms - 1));
        harm = 2 * trial.harm() / (2 * (arms - 1));
    }

    /**
     * A look.
     *
     * @param ran how long the trial has split
     */
    public StoppingDecision look(ExperimentCounts all, Duration ran) {
        long[] callers = all.sample.counts(parts.length);
        if (SampleRatioCheck.wrong(callers, parts, all.sample.level())) {
            StringBuilder seen = new StringBuilder();
            for (int arm = 0; arm < callers.length; arm++) {
                seen.append(arm == 0 ? "" : ", ")
                        .append(callers[arm])
                        .append(" of ")
                        .append(trial.arms().get(arm).name());
            }
            return new StoppingDecision(
                    StoppingDecision.Kind.VOID,
                    trial.safe(),
                    "the split is not the stated one: of the sampled callers " + seen);
        }
        if (all.deaths() >= trial.deaths()) {
            return new StoppingDecision(
                    StoppingDecision.Kind.HARM, trial.safe(), all.deaths() + " backends died while they split");
        }
        RunningMoments[] arms = new RunningMoments[parts.length];
        for (int arm = 0; arm < arms.length; arm++) {
            arms[arm] = all.moments(arm);
        }
        StoppingDecision verdict = test(arms);
        return verdict.ends() || ran.compareTo(trial.longest()) < 0
                ? verdict
                : new StoppingDecision(
                        StoppingDecision.Kind.TIME, trial.safe(), "no difference was shown in the longest time");
    }

    /** How far one arm is seen to be over another, and how surely. */
    private record EstimatedDifference(double difference, double variance, double freedom, double asked) {}

    /** What the counts alone say. */
    StoppingDecision test(RunningMoments... arms) {
        for (RunningMoments arm : arms) {
            if (arm.asked < LEAST_ASKED || arm.buckets < LEAST_BUCKETS) {
                return new StoppingDecision(StoppingDecision.Kind.GOES_ON, trial.safe(), "too few are counted");
            }
        }
        int n = arms.length;
        // Of each arm, by each measure: its surest lead over any other, and its surest lag behind any.
        double[][] low = new double[n][2];
        double[][] high = new double[n][2];
        double harmed = 0;
        int harms = -1;
        for (int i = 0; i < n; i++) {
            low[i] = new double[] {1, 1};
            high[i] = new double[] {1, 1};
        }
        for (int i = 0; i < n; i++) {
            for (int k = i + 1; k < n; k++) {
                for (int m = 0; m < 2; m++) {
                    EstimatedDifference lead = lead(arms[i], arms[k], m == 1);
                    if (saysNothing(lead)) {
                        low[i][m] = low[k][m] = -1;
                        continue;
                    }
                    double radius = radius(lead, level);
                    low[i][m] = Math.min(low[i][m], lead.difference() - radius);
                    high[i][m] = Math.min(high[i][m], lead.difference() + radius);
                    low[k][m] = Math.min(low[k][m], -lead.difference() - radius);
                    high[k][m] = Math.min(high[k][m], -lead.difference() + radius);
                    if (i == trial.safe() || k == trial.safe()) {
                        double over = (i == trial.safe() ? lead.difference() : -lead.difference()) - radius(lead, harm);
                        harms = over > harmed ? i == trial.safe() ? k : i : harms;
                        harmed = Math.max(harmed, over);
                    }
                }
            }
        }
        boolean futile = true;
        for (int i = 0; i < n; i++) {
            for (int m = 0; m < 2; m++) {
                // It lags behind none by the other measure for certain.
                if (low[i][m] > trial.difference() && high[i][1 - m] >= 0) {
                    return new StoppingDecision(
                            StoppingDecision.Kind.WINNER,
                            i,
                            trial.arms().get(i).name() + " is better by more than " + told(low[i][m], m));
                }
                futile &= high[i][m] < trial.difference();
            }
        }
        if (harms >= 0) {
            return new StoppingDecision(
                    StoppingDecision.Kind.HARM,
                    trial.safe(),
                    trial.arms().get(harms).name() + " is worse than the safe arm by more than "
                            + String.format(Locale.ROOT, "%.4f", harmed));
        }
        return futile
                ? new StoppingDecision(
                        StoppingDecision.Kind.FUTILE,
                        trial.safe(),
                        "none is better than another by the smallest difference")
                : new StoppingDecision(StoppingDecision.Kind.GOES_ON, trial.safe(), "nothing is shown yet");
    }

    /** Whether no bounds of these levels can be clear of nothing or within the smallest difference; most looks end here. */
    private boolean saysNothing(EstimatedDifference lead) {
        double least = lead.variance() * 2 * Math.log(1 / Math.max(level, harm));
        return lead.difference() * lead.difference() < least && least > trial.difference() * trial.difference();
    }

    private static String told(double part, int measure) {
        return String.format(Locale.ROOT, "%.4f", part)
                + (measure == 0 ? " of the operations asked" : " of the highest value");
    }

    /**
     * How much better i is than k, at all times with that chance of being outside. Divided between the two by their standard errors, these
     * are bounds for each arm of which i's lower one is over k's upper one just where the lower one here is over nothing (H. Goldstein,
     * M. Healy, 1995).
     */
    ConfidenceInterval bounds(RunningMoments i, RunningMoments k, boolean ofValue, double chance) {
        EstimatedDifference lead = lead(i, k, ofValue);
        double radius = radius(lead, chance);
        return new ConfidenceInterval(lead.difference() - radius, lead.difference() + radius);
    }

    private static EstimatedDifference lead(RunningMoments i, RunningMoments k, boolean ofValue) {
        double pooled = ((ofValue ? i.value + k.value : i.satisfied + k.satisfied) + 1) / (i.asked + k.asked + 2);
        double single = ofValue
                ? Math.max(0, (i.square * i.asked + k.square * k.asked + 1) / (i.asked + k.asked + 2) - pooled * pooled)
                : pooled * (1 - pooled);
        double ofI = Math.max(i.variance(ofValue), single / i.asked);
        double ofK = Math.max(k.variance(ofValue), single / k.asked);
        double variance = ofI + ofK;
        double freedom = variance * variance / (ofI * ofI / (i.buckets - 1) + ofK * ofK / (k.buckets - 1));
        return new EstimatedDifference(
                i.mean(ofValue) - k.mean(ofValue), variance, freedom, Math.min(i.asked, k.asked));
    }

    /**
     * Of the normal mixtures at the information 1/variance, the narrowest, each with its part of the chance; Student's distribution by
     * D. Wallace's approximation (1959).
     */
    private double radius(EstimatedDifference lead, double chance) {
        double information = 1 / lead.variance();
        double least = Double.MAX_VALUE;
        for (double near : nearness) {
            least = Math.min(
                    least,
                    (1 + near / information)
                            * (Math.log(1 + information / near) + 2 * Math.log(nearness.length / chance)));
        }
        return Math.sqrt(lead.variance() * lead.freedom() * (Math.exp(Math.min(50, least / lead.freedom())) - 1))
                + Math.log(2 / chance) / 3 / lead.asked();
    }
}
