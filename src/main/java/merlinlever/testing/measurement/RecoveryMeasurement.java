package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import merlinlever.testing.faults.AgentFleet;
import merlinlever.testing.faults.PowerLoss;
import merlinlever.testing.faults.ServeFleet;

/**
 * The measurements of docs/measurements/recovery: fleets of real processes that lose their power under load and come
 * back, with what the processes keep for their return and without, in turn on the same machine.
 */
public final class RecoveryMeasurement {

    private static final Duration WINDOW = Duration.ofSeconds(4);

    private final Path out;
    private final boolean quick;

    public RecoveryMeasurement(Path out, boolean quick) {
        this.out = out;
        this.quick = quick;
    }

    /** What some losses of one fleet came to. */
    private record RecoveryResult(
            double first,
            double full,
            double pushedBack,
            double unanswered,
            long twice,
            long breaches,
            String thrownAway) {}

    public void run() throws IOException, InterruptedException {
        Files.createDirectories(out);
        ResultTable times = new ResultTable(
                "return",
                "After a power loss of all: the whole service back (median of the losses)",
                "processes",
                "losses",
                "kept: something served, ms",
                "kept: all served, ms",
                "nothing kept: all served, ms",
                "ratio of all served");
        ResultTable effects = new ResultTable(
                "effects",
                "The same losses: what callers met, and effects twice",
                "processes",
                "losses",
                "kept: pushed back, share of tries",
                "nothing kept: pushed back, share",
                "kept: effects twice",
                "nothing kept: effects twice");
        StringBuilder thrown = new StringBuilder(
                "## What was thrown away at the starts of the kept runs\n\n| processes | piece and belief: starts |\n| --- | --- |\n");
        for (int processes : quick ? new int[] {3} : new int[] {5, 20, 50}) {
            int losses = quick ? 2 : processes > 20 ? 3 : 5;
            System.out.println(processes + " processes");
            RecoveryResult kept = losses(processes, losses, true);
            RecoveryResult bare = losses(processes, losses, false);
            times.row(processes, losses, kept.first, kept.full, bare.full, kept.full / bare.full);
            effects.row(processes, losses, kept.pushedBack, bare.pushedBack, kept.twice, bare.twice);
            thrown.append("| ")
                    .append(processes)
                    .append(" | ")
                    .append(kept.thrownAway)
                    .append(" |\n");
        }
        StringBuilder page = new StringBuilder(
                        "# Measurements: the return after a power loss\n\nMade by `java -jar target/merlinlever.jar measure recovery --out docs/measurements/recovery")
                .append(quick ? " --quick" : "")
                .append(
                        "`. Real processes of `serve` on loopback, 12 operations a second each, two in five keyed, tried again under their tokens for ")
                .append(WINDOW.toMillis())
                .append(
                        " ms; every machine's power lost at once and back at once. *Kept*: with `recovery` in the configuration. "
                                + "*Nothing kept*: without, all take everything as soon as they listen. Both in turn on one machine in one run; times are to be read as ratios.\n\n");
        page.append(times.write(out, "ms", List.of(0), List.of(2, 3, 4), false));
        page.append(effects.write(out, "share of tries", List.of(0), List.of(2, 3), false));
        page.append(thrown);
        Files.writeString(out.resolve("README.md"), page);
    }

    private RecoveryResult losses(int processes, int losses, boolean kept) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("merlinlever-measure");
        List<Double> first = new ArrayList<>();
        List<Double> full = new ArrayList<>();
        try (ServeFleet fleet = new ServeFleet(
                folder,
                new ServeFleet.ServeFleetSettings(processes, kept, 12, WINDOW),
                AgentFleet.sameJava(),
                0x26L + processes)) {
            PowerLoss power = new PowerLoss(
                    fleet,
                    Duration.ofMinutes(2),
                    line -> System.out.println("  " + line.lines().findFirst().orElse("")));
            power.begin();
            for (int i = 0; i < losses; i++) {
                PowerLoss.PowerLossOutcome outcome = power.play(PowerLoss.PowerLossKind.ALL, 0x2600L + i);
                first.add((double) outcome.firstAfter().toMillis());
                full.add((double) outcome.fullAfter().toMillis());
            }
            List<String> breaches = power.end();
            long[] counts = fleet.rules().counts();
            double tries = counts[0] + counts[1] + counts[2] + counts[3];
            long twice = breaches.stream()
                    .filter(breach -> breach.startsWith("duplicate effect"))
                    .count();
            return new RecoveryResult(
                    middle(first),
                    middle(full),
                    counts[1] / tries,
                    counts[3] / tries,
                    twice,
                    fleet.rules().violationCount(),
                    thrownAway(fleet));
        } finally {
            TemporaryDirectories.remove(folder);
        }
    }

    private static final Pattern STATE_FOUND =
            Pattern.compile("recovery: recovery-state-found piece=(?<piece>\\S+) disposition=(?<disposition>\\S+) ");

    /** From the logs: each piece with what became of it, and at how many starts. */
    private static String thrownAway(ServeFleet fleet) throws IOException {
        TreeMap<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < fleet.count(); i++) {
            for (String line : Files.readAllLines(fleet.processes().log(fleet.name(i)))) {
                Matcher found = STATE_FOUND.matcher(line);
                if (found.find()) {
                    String piece = found.group("piece") + ": " + found.group("disposition");
                    counts.merge(piece.replace('-', ' '), 1, Integer::sum);
                }
            }
        }
        return String.join(
                "; ",
                counts.entrySet().stream()
                        .map(entry -> entry.getKey() + ": " + entry.getValue())
                        .toList());
    }

    private static double middle(List<Double> of) {
        List<Double> sorted = of.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
