package merlinlever.experiments;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

class SequentialAnalysisTest {

    private static final double ALPHA = 0.05;

    private static Experiment trial(double difference) {
        Experiment.Arm a = new Experiment.Arm("a", 1, null, null, null);
        return new Experiment(
                "t",
                1,
                List.of(a, new Experiment.Arm("b", 1, null, null, null)),
                0,
                ALPHA,
                0.1,
                difference,
                Duration.ofDays(1),
                Duration.ofSeconds(10),
                1,
                3);
    }

    private static List<SimulatedExperiments.SimulationResult> play(
            int n, Experiment trial, SimulatedExperiments.SimulationSettings drawn) {
        return IntStream.range(0, n)
                .parallel()
                .mapToObj(i -> SimulatedExperiments.play(trial, drawn, 31L * i + 7))
                .toList();
    }

    private static long count(List<SimulatedExperiments.SimulationResult> all, StoppingDecision.Kind kind) {
        return all.stream().filter(each -> each.verdict().kind() == kind).count();
    }

    /** What so many trials of that chance reach with a chance of less than one in ten thousand. */
    private static double most(int n, double p) {
        return n * p + 4 * Math.sqrt(n * p * (1 - p));
    }

    @Example
    void ofEqualArmsFewAreCalledWinnersHoweverOftenOneLooks() {
        int n = 2000;
        List<SimulatedExperiments.SimulationResult> all =
                play(n, trial(0), new SimulatedExperiments.SimulationSettings(0.6, 0.6, 0, 0, 0, 3000));
        assertTrue(
                count(all, StoppingDecision.Kind.WINNER) <= most(n, ALPHA),
                "" + count(all, StoppingDecision.Kind.WINNER));
        assertTrue(count(all, StoppingDecision.Kind.HARM) <= most(n, 0.1), "" + count(all, StoppingDecision.Kind.HARM));
        long peeked = all.stream().filter(each -> each.peeked() > 0).count();
        assertTrue(
                peeked > 5 * ALPHA * n, "a fixed test that is looked at as often is wrong far more often: " + peeked);
    }

    @Example
    void callersWhoDifferAndOneWithHalfTheTrafficFakeNoWinner() {
        int n = 200;
        for (double heavy : new double[] {0, 0.5}) {
            List<SimulatedExperiments.SimulationResult> all =
                    play(n, trial(0), new SimulatedExperiments.SimulationSettings(0.5, 0.5, 200, 0.45, heavy, 10_000));
            assertTrue(
                    count(all, StoppingDecision.Kind.WINNER) <= most(n, ALPHA),
                    heavy + ": " + count(all, StoppingDecision.Kind.WINNER));
            assertTrue(
                    count(all, StoppingDecision.Kind.HARM) <= most(n, 0.1),
                    heavy + ": " + count(all, StoppingDecision.Kind.HARM));
        }
    }

    @Example
    void aBetterArmWinsAndAWorseOneIsStoppedForHarm() {
        List<SimulatedExperiments.SimulationResult> better =
                play(60, trial(0.02), new SimulatedExperiments.SimulationSettings(0.5, 0.6, 0, 0, 0, 40_000));
        assertTrue(better.stream()
                .allMatch(each -> each.verdict().kind() == StoppingDecision.Kind.WINNER
                        && each.verdict().arm() == 1));
        List<SimulatedExperiments.SimulationResult> worse =
                play(60, trial(0.02), new SimulatedExperiments.SimulationSettings(0.6, 0.5, 0, 0, 0, 40_000));
        assertTrue(worse.stream()
                .allMatch(each -> each.verdict().ends() && each.verdict().arm() == 0));
        assertTrue(
                worse.stream()
                                .mapToInt(SimulatedExperiments.SimulationResult::at)
                                .average()
                                .getAsDouble()
                        < better.stream()
                                .mapToInt(SimulatedExperiments.SimulationResult::at)
                                .average()
                                .getAsDouble(),
                "the looser level is sooner");
    }

    @Example
    void aDifferenceUnderTheSmallestIsNoWinnerAndEqualArmsEndAsFutile() {
        List<SimulatedExperiments.SimulationResult> small =
                play(100, trial(0.05), new SimulatedExperiments.SimulationSettings(0.5, 0.52, 0, 0, 0, 40_000));
        assertTrue(
                count(small, StoppingDecision.Kind.WINNER) <= most(100, ALPHA),
                "" + count(small, StoppingDecision.Kind.WINNER));
        List<SimulatedExperiments.SimulationResult> equal =
                play(100, trial(0.05), new SimulatedExperiments.SimulationSettings(0.5, 0.5, 0, 0, 0, 40_000));
        assertTrue(count(equal, StoppingDecision.Kind.FUTILE) > 80, "" + count(equal, StoppingDecision.Kind.FUTILE));
    }

    private static ExperimentCounts tally(
            Experiment trial, long seed, int n, double[] good, double[] worth, double come) {
        ExperimentCounts tally = new ExperimentCounts(trial);
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < n; i++) {
            BucketAssignment split = new BucketAssignment(trial);
            String caller = "c" + seed + "-" + i;
            int arm = split.arm(caller);
            if (arm == 1 && chance.nextDouble() >= come) {
                continue;
            }
            ExperimentCounts.CountedRequest op = tally.asked(caller, null, false);
            tally.became(
                    op,
                    chance.nextDouble() < good[arm]
                            ? ExperimentCounts.RequestResult.SATISFIED
                            : ExperimentCounts.RequestResult.OTHER,
                    worth[arm]);
        }
        return tally;
    }

    @Example
    void aSplitThatIsNotTheStatedOneVoidsTheTrialInPlaceOfCrowningAnyone() {
        Experiment trial = trial(0.02);
        SequentialAnalysis test = new SequentialAnalysis(trial);
        ExperimentCounts lost = tally(trial, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 0.5);
        assertEquals(StoppingDecision.Kind.VOID, test.look(lost, Duration.ZERO).kind());
        ExperimentCounts whole = tally(trial, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 1);
        assertEquals(
                new StoppingDecision(
                        StoppingDecision.Kind.WINNER,
                        1,
                        test.look(whole, Duration.ZERO).why()),
                test.look(whole, Duration.ZERO));
    }

    @Example
    void aGoodSplitIsSeldomCalledWrongHoweverOftenOneLooks() {
        int wrong = 0;
        int n = 2000;
        for (int seed = 0; seed < n; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            long[] counts = new long[2];
            boolean once = false;
            for (int i = 0; i < 400; i++) {
                counts[chance.nextInt(4) == 0 ? 0 : 1]++;
                once |= i % 10 == 9 && SampleRatioCheck.wrong(counts, new double[] {0.25, 0.75}, 0);
            }
            wrong += once ? 1 : 0;
        }
        assertTrue(wrong <= most(n, SampleRatioCheck.LEVEL / 2), wrong + " of " + n);
        assertTrue(SampleRatioCheck.wrong(new long[] {200, 200}, new double[] {0.25, 0.75}, 0));
    }

    @Example
    void valueDecidesWhereTheSharesAreEqualAndNotAgainstThem() {
        Experiment trial = trial(0.02);
        SequentialAnalysis test = new SequentialAnalysis(trial);
        ExperimentCounts worth = tally(trial, 2, 6000, new double[] {0.7, 0.7}, new double[] {0.5, 0.8}, 1);
        assertEquals(
                StoppingDecision.Kind.WINNER, test.look(worth, Duration.ZERO).kind());
        assertEquals(1, test.look(worth, Duration.ZERO).arm());
        // More are satisfied, with less: neither wins, and an arm that is worse by one measure than the safe one does
        // harm.
        ExperimentCounts mixed = tally(trial, 3, 6000, new double[] {0.6, 0.8}, new double[] {0.9, 0.3}, 1);
        assertEquals(StoppingDecision.Kind.HARM, test.look(mixed, Duration.ZERO).kind());
        assertEquals(0, test.look(mixed, Duration.ZERO).arm());
    }

    @Example
    void noDifferenceEndsAtTheLongestTimeAndNoSooner() {
        Experiment trial = trial(0.02);
        ExperimentCounts equal = tally(trial, 4, 2000, new double[] {0.7, 0.7}, new double[] {1, 1}, 1);
        assertEquals(
                StoppingDecision.Kind.GOES_ON,
                new SequentialAnalysis(trial)
                        .look(equal, trial.longest().minusMillis(1))
                        .kind());
        assertEquals(
                StoppingDecision.Kind.TIME,
                new SequentialAnalysis(trial).look(equal, trial.longest()).kind());
    }
}
