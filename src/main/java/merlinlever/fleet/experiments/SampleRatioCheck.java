package merlinlever.fleet.experiments;

/**
 * Detects a sample ratio mismatch: callers were not assigned to the arms as configured. The test statistic is the
 * likelihood ratio of a mixture of assignments to the configured assignment and may be evaluated after each caller (M.
 * Lindon, A. Malek, Anytime-Valid Inference for Multinomial Count Data, 2022). With a correct assignment, the
 * probability that the ratio ever exceeds a bound is at most the reciprocal of the bound (J. Ville, 1939).
 */
final class SampleRatioCheck {

    /** Probability of a false alarm, divided among the halvings of the sample. */
    static final double FALSE_ALARM_PROBABILITY = 0.001;
    /** Concentration of the mixture around the configured shares. */
    private static final double CONCENTRATION = 20;

    private SampleRatioCheck() {}

    /** Returns the logarithm of the likelihood ratio. */
    static double logRatio(long[] callersByArm, double[] shares) {
        double logRatio = 0;
        long total = 0;
        for (int arm = 0; arm < shares.length; arm++) {
            for (long i = 0; i < callersByArm[arm]; i++) {
                logRatio += Math.log((CONCENTRATION * shares[arm] + i) / (CONCENTRATION + total) / shares[arm]);
                total++;
            }
        }
        return logRatio;
    }

    /**
     * Returns whether the distribution of the callers contradicts the configured shares.
     *
     * @param level number of halvings of the sample; each halving restarts the check with half of the remaining
     *     probability
     */
    static boolean isMismatch(long[] callersByArm, double[] shares, int level) {
        return logRatio(callersByArm, shares) >= Math.log(1 / FALSE_ALARM_PROBABILITY) + (level + 1) * Math.log(2);
    }
}
