package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import merlinlever.fleet.experiments.Experiment;
import merlinlever.fleet.experiments.SimulatedExperiments;
import merlinlever.fleet.experiments.StoppingDecision;

/** The measurements of docs/measurements/trials: drawn trials for what the test is worth, and fleets on virtual time for its end. */
public final class ExperimentMeasurement {

    private static final double LEVEL = 0.05;

    private final Path out;
    private final boolean quick;

    public ExperimentMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    public void run() throws IOException {
        Files.createDirectories(out);
        StringBuilder page = new StringBuilder(
                        "# Measurements: trials stopped early\n\nMade by `java -jar target/merlinlever.jar measure trials --out docs/measurements/trials")
                .append(quick ? " --quick" : "")
                .append(
                        "`. All of it is simulated: operations and callers are drawn, fleets are on virtual time. Level ")
                .append(LEVEL)
                .append(" for a winner, 0.1 for harm, shares of satisfied operations about 0.6, split by halves.\n\n");
        page.append(equal().write(out, "wrong, of the trials", List.of(0, 1), List.of(3, 5), false));
        page.append(needed().write(out, "operations, both arms", List.of(0, 1, 2), List.of(3, 4, 6), true));
        Files.writeString(out.resolve("README.md"), page);
    }

    private static Experiment trial(double difference) {
        return new Experiment(
                "t",
                1,
                List.of(Experiment.Arm.unchanged("safe", 1), Experiment.Arm.unchanged("new", 1)),
                0,
                LEVEL,
                0.1,
                difference,
                Duration.ofDays(7),
                Duration.ofSeconds(10),
                1,
                3);
    }

    private static List<SimulatedExperiments.SimulationResult> play(
            int n, double difference, SimulatedExperiments.SimulationSettings drawn) {
        return IntStream.range(0, n)
                .parallel()
                .mapToObj(i -> SimulatedExperiments.run(trial(difference), drawn, 7919L * i + 1))
                .toList();
    }

    private static double part(List<SimulatedExperiments.SimulationResult> all, StoppingDecision.Kind kind) {
        return all.stream().filter(each -> each.decision().kind() == kind).count() / (double) all.size();
    }

    /** Wrong winners where there is nothing to win, with a look after every operation. */
    private ResultTable equal() {
        int n = quick ? 500 : 20_000;
        int most = quick ? 4000 : 20_000;
        ResultTable table = new ResultTable(
                "equal",
                "Simulated: two equal arms, looked at after each of " + most + " operations",
                "callers",
                "smallest difference",
                "trials",
                "called a winner",
                "ended for harm",
                "a fixed test at 0.05 looked at as often");
        SimulatedExperiments.SimulationSettings[] drawn = {
            new SimulatedExperiments.SimulationSettings(0.6, 0.6, 0, 0, 0, most),
            new SimulatedExperiments.SimulationSettings(0.5, 0.5, 200, 0.45, 0, most),
            new SimulatedExperiments.SimulationSettings(0.5, 0.5, 200, 0.45, 0.5, most)
        };
        String[] names = {"one for each operation", "200 an arm who differ", "the same and one with half the traffic"};
        for (int i = 0; i < drawn.length; i++) {
            for (double difference : new double[] {0, 0.02}) {
                List<SimulatedExperiments.SimulationResult> all = play(n, difference, drawn[i]);
                table.row(
                        names[i],
                        difference,
                        n,
                        part(all, StoppingDecision.Kind.WINNER),
                        part(all, StoppingDecision.Kind.HARM),
                        all.stream()
                                        .filter(each -> each.fixedTestWinnerAt() > 0)
                                        .count()
                                / (double) n);
            }
        }
        return table;
    }

    /** Of both arms together, for a two-sided test at 0.05 and a power of 0.8. */
    private static double fixed(double p, double q) {
        double z = 1.959964 + 0.841621;
        return 2 * z * z * (p * (1 - p) + q * (1 - q)) / (p - q) / (p - q);
    }

    /** How long it takes to tell arms apart that differ. */
    private ResultTable needed() {
        ResultTable table = new ResultTable(
                "needed",
                "Simulated: operations until the end, where the arms differ",
                "difference",
                "the new arm is",
                "smallest difference",
                "fixed size at a power of 0.8",
                "median",
                "mean",
                "80 of 100 are over by",
                "ended rightly",
                "lost to the worse arm, fixed",
                "lost to the worse arm, here");
        for (double difference : new double[] {0.01, 0.03, 0.1}) {
            for (boolean better : new boolean[] {true, false}) {
                for (double part : new double[] {0, 0.2, 0.5}) {
                    int n = quick ? 20 : difference < 0.02 ? 200 : 1000;
                    double fixed = fixed(0.6, 0.6 + difference);
                    List<SimulatedExperiments.SimulationResult> all = play(
                            n,
                            part * difference,
                            new SimulatedExperiments.SimulationSettings(
                                    better ? 0.6 : 0.6 + difference, better ? 0.6 + difference : 0.6, 0, 0, 0, (int)
                                            (fixed * 30)));
                    double[] at = all.stream()
                            .mapToDouble(SimulatedExperiments.SimulationResult::requests)
                            .sorted()
                            .toArray();
                    double worse = all.stream()
                            .mapToDouble(each ->
                                    better ? each.requests() - each.requestsOfSecondArm() : each.requestsOfSecondArm())
                            .average()
                            .orElse(0);
                    // For the safe arm there is no need to win: the new one is stopped.
                    long right = all.stream()
                            .filter(each -> better
                                    ? each.decision().kind() == StoppingDecision.Kind.WINNER
                                            && each.decision().arm() == 1
                                    : each.decision().kind() != StoppingDecision.Kind.TIME_LIMIT
                                            && each.decision().arm() == 0)
                            .count();
                    table.row(
                            difference,
                            better ? "better" : "worse",
                            part * difference,
                            Math.rint(fixed),
                            at[n / 2],
                            Math.rint(Arrays.stream(at).average().orElse(0)),
                            at[n * 4 / 5],
                            right / (double) n,
                            fixed / 2 * difference,
                            worse * difference);
                }
            }
        }
        return table;
    }
}
