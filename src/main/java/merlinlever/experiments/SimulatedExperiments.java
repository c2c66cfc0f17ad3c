package merlinlever.experiments;

import java.util.SplittableRandom;

/**
 * Drawn trials of two arms, one operation after another, looked at after each: how often and when the test stops, beside a test of
 * fixed size that is looked at as often. For measurements and tests.
 */
public final class SimulatedExperiments {

    /**
     * What is drawn.
     *
     * @param callers of each arm; 0: each operation has a caller of its own
     * @param apart how far the callers of an arm lie apart in the share that is satisfied
     * @param heavy the part of the traffic that one caller has
     * @param most operations, in both arms together
     */
    public record SimulationSettings(double first, double second, int callers, double apart, double heavy, int most) {}

    /**
     * How one went.
     *
     * @param at operations until it ended, both arms together
     * @param peeked where a fixed test at 0.05, looked at after each operation, first called a winner; 0: never
     * @param toSecond operations that the second arm was given until it ended
     */
    public record SimulationResult(StoppingDecision verdict, int at, int peeked, int toSecond) {}

    private SimulatedExperiments() {}

    public static SimulationResult play(Experiment trial, SimulationSettings drawn, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        SequentialAnalysis test = new SequentialAnalysis(trial);
        int half = BucketAssignment.BUCKETS / 2;
        RunningMoments[] arms = {new RunningMoments(), new RunningMoments()};
        int[][] asked = new int[2][half];
        int[][] satisfied = new int[2][half];
        int[] raw = new int[2];
        int[] rawSatisfied = new int[2];
        double[][] share = new double[2][Math.max(1, drawn.callers())];
        int[][] bucket = new int[2][Math.max(1, drawn.callers())];
        for (int arm = 0; arm < 2; arm++) {
            for (int i = 0; i < drawn.callers(); i++) {
                share[arm][i] = drawn.apart() * (2 * chance.nextDouble() - 1);
                bucket[arm][i] = chance.nextInt(half);
            }
        }
        int heavyArm = chance.nextInt(2);
        int peeked = 0;
        StoppingDecision verdict = null;
        int at = 0;
        int toSecond = 0;
        for (int n = 1; n <= drawn.most() && (verdict == null || peeked == 0); n++) {
            boolean heavy = drawn.heavy() > 0 && chance.nextDouble() < drawn.heavy();
            int arm = heavy ? heavyArm : chance.nextInt(2);
            int caller = heavy || drawn.callers() == 0 ? 0 : chance.nextInt(drawn.callers());
            int b = drawn.callers() == 0 ? chance.nextInt(half) : bucket[arm][caller];
            double p = (arm == 0 ? drawn.first() : drawn.second()) + (drawn.callers() == 0 ? 0 : share[arm][caller]);
            boolean good = chance.nextDouble() < p;
            raw[arm]++;
            rawSatisfied[arm] += good ? 1 : 0;
            if (verdict == null) {
                toSecond += arm;
                // As Tally has it.
                if (asked[arm][b]
                        < ExperimentCounts.FIRST
                                + ExperimentCounts.OVER_MEAN
                                        * (long) (arms[0].asked + arms[1].asked)
                                        / BucketAssignment.BUCKETS) {
                    int before = satisfied[arm][b];
                    satisfied[arm][b] += good ? 1 : 0;
                    arms[arm].change(
                            asked[arm][b], before, before, ++asked[arm][b], satisfied[arm][b], satisfied[arm][b]);
                    arms[arm].square = arms[arm].satisfied / arms[arm].asked;
                }
                StoppingDecision now = test.test(arms);
                if (now.ends()) {
                    verdict = now;
                    at = n;
                }
            }
            if (peeked == 0 && Math.min(raw[0], raw[1]) >= 100 && Math.abs(z(raw, rawSatisfied)) >= 1.959964) {
                peeked = n;
            }
        }
        return new SimulationResult(
                verdict == null ? new StoppingDecision(StoppingDecision.Kind.TIME, trial.safe(), "") : verdict,
                verdict == null ? drawn.most() : at,
                peeked,
                toSecond);
    }

    private static double z(int[] asked, int[] satisfied) {
        double pooled = (double) (satisfied[0] + satisfied[1]) / (asked[0] + asked[1]);
        return ((double) satisfied[0] / asked[0] - (double) satisfied[1] / asked[1])
                / Math.sqrt(pooled * (1 - pooled) * (1.0 / asked[0] + 1.0 / asked[1]));
    }
}
