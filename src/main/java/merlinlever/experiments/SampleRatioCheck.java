package merlinlever.experiments;

/**
 * Whether callers came to the arms as the split is stated: the ratio of a mixture of splits to the stated one, which may be looked
 * at after each caller (M. Lindon, A. Malek, Anytime-Valid Inference for Multinomial Count Data, 2022). It is over a bound with a
 * chance of one over the bound at the most, however long one looks (J. Ville, 1939).
 */
final class SampleRatioCheck {

    /** Chance that a good split is called wrong; each halving of the sample begins anew, with half of what is left of it. */
    static final double LEVEL = 0.001;
    /** How near the stated split the mixture lies. */
    private static final double NEAR = 20;

    private SampleRatioCheck() {}

    /** The logarithm of the ratio. */
    static double log(long[] counts, double[] parts) {
        double log = 0;
        long all = 0;
        for (int arm = 0; arm < parts.length; arm++) {
            for (long i = 0; i < counts[arm]; i++) {
                log += Math.log((NEAR * parts[arm] + i) / (NEAR + all++) / parts[arm]);
            }
        }
        return log;
    }

    static boolean wrong(long[] counts, double[] parts, int level) {
        return log(counts, parts) >= Math.log(1 / LEVEL) + (level + 1) * Math.log(2);
    }
}
