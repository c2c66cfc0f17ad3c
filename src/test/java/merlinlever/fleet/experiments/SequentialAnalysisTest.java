package merlinlever.fleet.experiments;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import merlinlever.fleet.experiments.ExperimentCounts.RequestResult;
import merlinlever.fleet.experiments.SimulatedExperiments.SimulationResult;
import merlinlever.fleet.experiments.SimulatedExperiments.SimulationSettings;
import org.junit.jupiter.api.Test;

class SequentialAnalysisTest {

    private static final double ALPHA = 0.05;

    private static Experiment experiment(double difference) {
        return new Experiment(
                "t",
                1,
                List.of(Experiment.Arm.unchanged("a", 1), Experiment.Arm.unchanged("b", 1)),
                0,
                ALPHA,
                0.1,
                difference,
                Duration.ofDays(1),
                Duration.ofSeconds(10),
                1,
                3);
    }

    private static List<SimulationResult> simulate(int runs, Experiment experiment, SimulationSettings settings) {
        return IntStream.range(0, runs)
                .parallel()
                .mapToObj(i -> SimulatedExperiments.run(experiment, settings, 31L * i + 7))
                .toList();
    }

    private static long count(List<SimulationResult> results, StoppingDecision.Kind kind) {
        return results.stream()
                .filter(result -> result.decision().kind() == kind)
                .count();
    }

    /** Returns a bound that the number of events in independent runs exceeds with a probability below 1 in 10,000. */
    private static double maxCount(int runs, double probability) {
        return runs * probability + 4 * Math.sqrt(runs * probability * (1 - probability));
    }

    @Test
    void repeatedEvaluationOfEqualArmsRarelyYieldsAWinner() {
        int runs = 2000;
        List<SimulationResult> results = simulate(runs, experiment(0), new SimulationSettings(0.6, 0.6, 0, 0, 0, 3000));
        assertTrue(
                count(results, StoppingDecision.Kind.WINNER) <= maxCount(runs, ALPHA),
                "" + count(results, StoppingDecision.Kind.WINNER));
        assertTrue(
                count(results, StoppingDecision.Kind.HARM) <= maxCount(runs, 0.1),
                "" + count(results, StoppingDecision.Kind.HARM));
        long fixedTestWinners = results.stream()
                .filter(result -> result.fixedTestWinnerAt() > 0)
                .count();
        assertTrue(
                fixedTestWinners > 5 * ALPHA * runs,
                "false winners of the fixed-sample test, evaluated equally often: " + fixedTestWinners);
    }

    @Test
    void unequalCallersAndAHeavyCallerDoNotCauseFalseWinners() {
        int runs = 200;
        for (double heavyShare : new double[] {0, 0.5}) {
            List<SimulationResult> results =
                    simulate(runs, experiment(0), new SimulationSettings(0.5, 0.5, 200, 0.45, heavyShare, 10_000));
            assertTrue(
                    count(results, StoppingDecision.Kind.WINNER) <= maxCount(runs, ALPHA),
                    heavyShare + ": " + count(results, StoppingDecision.Kind.WINNER));
            assertTrue(
                    count(results, StoppingDecision.Kind.HARM) <= maxCount(runs, 0.1),
                    heavyShare + ": " + count(results, StoppingDecision.Kind.HARM));
        }
    }

    @Test
    void betterArmWinsAndWorseArmIsStoppedEarlier() {
        List<SimulationResult> better =
                simulate(60, experiment(0.02), new SimulationSettings(0.5, 0.6, 0, 0, 0, 40_000));
        assertTrue(better.stream()
                .allMatch(result -> result.decision().kind() == StoppingDecision.Kind.WINNER
                        && result.decision().arm() == 1));
        List<SimulationResult> worse =
                simulate(60, experiment(0.02), new SimulationSettings(0.6, 0.5, 0, 0, 0, 40_000));
        assertTrue(worse.stream()
                .allMatch(result ->
                        result.decision().isFinal() && result.decision().arm() == 0));
        assertTrue(
                worse.stream().mapToInt(SimulationResult::requests).average().getAsDouble()
                        < better.stream()
                                .mapToInt(SimulationResult::requests)
                                .average()
                                .getAsDouble(),
                "harm is detected earlier, at its less strict level");
    }

    @Test
    void differenceBelowTheMinimumYieldsNoWinnerAndEqualArmsAreFutile() {
        List<SimulationResult> smallDifference =
                simulate(100, experiment(0.05), new SimulationSettings(0.5, 0.52, 0, 0, 0, 40_000));
        assertTrue(
                count(smallDifference, StoppingDecision.Kind.WINNER) <= maxCount(100, ALPHA),
                "" + count(smallDifference, StoppingDecision.Kind.WINNER));
        List<SimulationResult> equal =
                simulate(100, experiment(0.05), new SimulationSettings(0.5, 0.5, 0, 0, 0, 40_000));
        assertTrue(count(equal, StoppingDecision.Kind.FUTILE) > 80, "" + count(equal, StoppingDecision.Kind.FUTILE));
    }

    private static ExperimentCounts counts(
            Experiment experiment,
            long seed,
            int requests,
            double[] servedShare,
            double[] value,
            double secondArmArrivals) {
        ExperimentCounts counts = new ExperimentCounts(experiment);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < requests; i++) {
            BucketAssignment assignment = new BucketAssignment(experiment);
            String caller = "c" + seed + "-" + i;
            int arm = assignment.arm(caller);
            if (arm == 1 && random.nextDouble() >= secondArmArrivals) {
                continue;
            }
            ExperimentCounts.CountedRequest request = counts.requestArrived(caller, Optional.empty(), false);
            boolean served = random.nextDouble() < servedShare[arm];
            counts.attemptEnded(request, served ? RequestResult.SERVED : RequestResult.OTHER, value[arm]);
        }
        return counts;
    }

    @Test
    void sampleRatioMismatchInvalidatesTheExperiment() {
        Experiment experiment = experiment(0.02);
        SequentialAnalysis analysis = new SequentialAnalysis(experiment);
        ExperimentCounts incomplete = counts(experiment, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 0.5);
        assertEquals(
                StoppingDecision.Kind.INVALID,
                analysis.evaluate(incomplete, Duration.ZERO).kind());
        ExperimentCounts complete = counts(experiment, 1, 4000, new double[] {0.4, 0.8}, new double[] {1, 1}, 1);
        assertEquals(
                new StoppingDecision(
                        StoppingDecision.Kind.WINNER,
                        1,
                        analysis.evaluate(complete, Duration.ZERO).reason()),
                analysis.evaluate(complete, Duration.ZERO));
    }

    @Test
    void repeatedChecksOfACorrectAssignmentRarelyReportAMismatch() {
        int mismatches = 0;
        int runs = 2000;
        for (int seed = 0; seed < runs; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long[] counts = new long[2];
            boolean mismatchFound = false;
            for (int i = 0; i < 400; i++) {
                counts[random.nextInt(4) == 0 ? 0 : 1]++;
                mismatchFound |= i % 10 == 9 && SampleRatioCheck.isMismatch(counts, new double[] {0.25, 0.75}, 0);
            }
            mismatches += mismatchFound ? 1 : 0;
        }
        assertTrue(
                mismatches <= maxCount(runs, SampleRatioCheck.FALSE_ALARM_PROBABILITY / 2), mismatches + " of " + runs);
        assertTrue(SampleRatioCheck.isMismatch(new long[] {200, 200}, new double[] {0.25, 0.75}, 0));
    }

    @Test
    void valueDecidesOnlyIfServedSharesDoNotContradict() {
        Experiment experiment = experiment(0.02);
        SequentialAnalysis analysis = new SequentialAnalysis(experiment);
        ExperimentCounts moreValue = counts(experiment, 2, 6000, new double[] {0.7, 0.7}, new double[] {0.5, 0.8}, 1);
        assertEquals(
                StoppingDecision.Kind.WINNER,
                analysis.evaluate(moreValue, Duration.ZERO).kind());
        assertEquals(1, analysis.evaluate(moreValue, Duration.ZERO).arm());
        // The second arm serves more requests with less value: no arm wins, and being worse than the safe arm by one
        // measure counts as harm.
        ExperimentCounts mixed = counts(experiment, 3, 6000, new double[] {0.6, 0.8}, new double[] {0.9, 0.3}, 1);
        assertEquals(
                StoppingDecision.Kind.HARM,
                analysis.evaluate(mixed, Duration.ZERO).kind());
        assertEquals(0, analysis.evaluate(mixed, Duration.ZERO).arm());
    }

    @Test
    void equalArmsEndExactlyAtTheTimeLimit() {
        Experiment experiment = experiment(0.02);
        ExperimentCounts equal = counts(experiment, 4, 2000, new double[] {0.7, 0.7}, new double[] {1, 1}, 1);
        assertEquals(
                StoppingDecision.Kind.CONTINUE,
                new SequentialAnalysis(experiment)
                        .evaluate(equal, experiment.maxDuration().minusMillis(1))
                        .kind());
        assertEquals(
                StoppingDecision.Kind.TIME_LIMIT,
                new SequentialAnalysis(experiment)
                        .evaluate(equal, experiment.maxDuration())
                        .kind());
    }
}
