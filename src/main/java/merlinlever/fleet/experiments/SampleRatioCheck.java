package merlinlever.fleet.experiments;

/**
 * Detects that callers were not assigned to the arms as configured (sample ratio mismatch): the likelihood ratio of a mixture of assignments
 * to the configured one, which may be evaluated after each caller (M. Lindon, A. Malek, Anytime-Valid Inference for Multinomial Count
 * Data, 2022). With a correct assignment it ever exceeds a bound with a probability of one over the bound at most (J. Ville, 1939).
 */
final class SampleRatioCheck {

    /** Probability of a false alarm, shared out over the halvings of the sample. */
    static final double FALSE_ALARM_PROBABILITY = 0.001;
    /** How much of the mixture lies near the configured shares. */
    private static final double CONCENTRATION = 20;

    private SampleRatioCheck() {}

    /** The logarithm of the likelihood ratio. */
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
     * Whether the callers are not distributed as the shares say.
     *
     * @param level halvings of the sample; each starts the check anew with half of the probability that was left
     */
    static boolean isMismatch(long[] callersByArm, double[] shares, int level) {
        return logRatio(callersByArm, shares) >= Math.log(1 / FALSE_ALARM_PROBABILITY) + (level + 1) * Math.log(2);
    }
}
