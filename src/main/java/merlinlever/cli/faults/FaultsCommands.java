package merlinlever.cli.faults;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import merlinlever.config.ConfigFile;
import merlinlever.faults.AgentFleet;
import merlinlever.faults.FaultHarness;
import merlinlever.faults.PowerLoss;
import merlinlever.faults.ServeFleet;
import merlinlever.faults.disk.CrashStates;
import merlinlever.faults.disk.StateRestorer;
import merlinlever.faults.script.FaultScript;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The fault harness on the command line: for tests and trials on one machine, never part of a deployment. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description =
                "Play faults on real processes of this program on loopback and audit them from outside; make the states of a power loss.")
public final class FaultsCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    @Command(
            name = "play",
            mixinStandardHelpOptions = true,
            description =
                    "Start host agents that know each other, play the script's faults on them and between them, heal, and audit "
                            + "that they agree with what is so. Ends with 0 where they do, 1 with the seed and the steps where not.")
    int play(
            @Parameters(paramLabel = "SCRIPT", description = "YAML, checked against 'config schema faults'")
                    Path script,
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "FOLDER",
                            description = "for the agents' folders, logs and records; made where it is not there")
                    Path folder,
            @Option(names = "--seed", paramLabel = "HEX", description = "in place of the script's") String seed)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        FaultScript.FaultPlan plan;
        try {
            plan = FaultScript.read(ConfigFile.read(script, "faults"));
        } catch (ConfigFile.InvalidConfigFileException e) {
            err.println(e.getMessage());
            return 2;
        }
        if (seed != null) {
            if (!seed.matches("[0-9a-fA-F]{1,16}")) {
                err.println("merlinlever: --seed takes 1 to 16 hex digits, not " + seed);
                return 2;
            }
            plan = new FaultScript.FaultPlan(
                    plan.processes(), Long.parseUnsignedLong(seed, 16), plan.length(), plan.settle(), plan.steps());
        }
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            err.println("merlinlever: --folder " + folder + " is not a folder");
            return 2;
        }
        try (AgentFleet fleet =
                new AgentFleet(folder.toAbsolutePath(), plan.processes(), AgentFleet.sameJava(), plan.seed())) {
            FaultHarness harness = new FaultHarness(fleet, plan.seed(), line -> {
                out.println(line);
                out.flush();
            });
            harness.startAll(Duration.ofSeconds(60));
            out.println(plan.processes() + " agents answer; playing "
                    + plan.steps().size() + " steps over " + plan.length().toMillis() + " ms");
            out.flush();
            FaultHarness.HarnessResult verdict = harness.play(plan);
            out.println(verdict.told());
            return verdict.passed() ? 0 : 1;
        }
    }

    @Command(
            name = "power",
            mixinStandardHelpOptions = true,
            description =
                    "Start backends with callers and agents of their own, take their power away at drawn moments under load, and audit from outside "
                            + "that nothing is done twice, no answer is lost and service comes back. Ends with 0 where all holds, 1 with the seed where not.")
    int power(
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "FOLDER",
                            description = "for the backends' folders, logs and records")
                    Path folder,
            @Option(
                            names = "--processes",
                            paramLabel = "N",
                            description = "backends, 2 to 60 (default: 5)",
                            defaultValue = "5")
                    int processes,
            @Option(
                            names = "--losses",
                            paramLabel = "N",
                            description = "power losses, one after the other; the kinds take turns (default: 10)",
                            defaultValue = "10")
                    int losses,
            @Option(
                            names = "--seed",
                            paramLabel = "HEX",
                            description = "of the first; each further one adds 1 (default: 1)",
                            defaultValue = "1")
                    String seed,
            @Option(names = "--without", description = "the backends keep nothing for their return, as a comparison")
                    boolean without)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if (processes < 2 || processes > 60 || losses < 1 || losses > 100_000 || !seed.matches("[0-9a-fA-F]{1,16}")) {
            err.println(
                    "merlinlever: --processes is from 2 to 60, --losses from 1 to 100000, --seed 1 to 16 hex digits");
            return 2;
        }
        long first = Long.parseUnsignedLong(seed, 16);
        int failed = 0;
        try (ServeFleet fleet = new ServeFleet(
                folder.toAbsolutePath(),
                new ServeFleet.ServeFleetSettings(processes, !without, 12, Duration.ofSeconds(4)),
                AgentFleet.sameJava(),
                first)) {
            PowerLoss power = new PowerLoss(fleet, Duration.ofSeconds(60), line -> {
                out.println(line);
                out.flush();
            });
            power.begin();
            PowerLoss.PowerLossKind[] kinds = PowerLoss.PowerLossKind.values();
            for (int i = 0; i < losses; i++) {
                PowerLoss.PowerLossOutcome outcome =
                        power.play(kinds[(int) Long.remainderUnsigned(first + i, kinds.length)], first + i);
                failed += outcome.breaches().isEmpty() ? 0 : 1;
            }
            java.util.List<String> breaches = new java.util.ArrayList<>(power.end());
            breaches.addAll(power.incarnations());
            breaches.forEach(breach -> out.println("breach: " + breach));
            long[] counts = fleet.rules().counts();
            out.println((failed == 0 && breaches.isEmpty() ? "passed" : "FAILED") + ": " + losses + " losses, " + failed
                    + " failed; tries "
                    + counts[0] + " satisfied, " + counts[1] + " pushed back, " + counts[2] + " failed, " + counts[3]
                    + " without an answer; "
                    + counts[4] + " operations with an effect, " + fleet.rules().breached() + " breaches");
            return failed == 0 && breaches.isEmpty() ? 0 : 1;
        }
    }

    @Command(
            name = "states",
            mixinStandardHelpOptions = true,
            description =
                    "Tell the states that a power loss may leave of a folder, from the record of its seam (MERLINLEVER_DISK_RECORD); "
                            + "with --out, lay each in a folder of its own.")
    int states(
            @Parameters(paramLabel = "RECORD", description = "a .ops file") Path record,
            @Option(
                            names = "--out",
                            paramLabel = "FOLDER",
                            description = "where each state is laid, as 00000, 00001, ...")
                    Path into)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        CrashStates states;
        try {
            if (!Files.isRegularFile(record)) {
                spec.commandLine().getErr().println(record + ": no such file");
                return 2;
            }
            states = CrashStates.of(Files.readString(record, StandardCharsets.US_ASCII));
            int[] n = {0};
            IOException[] failed = {null};
            int told = states.each(state -> {
                out.println(String.format("%05d", n[0]) + " after " + state.cut() + " of " + states.operations() + ": "
                        + state.how() + ", " + state.files().size() + " files");
                if (into != null && failed[0] == null) {
                    try {
                        StateRestorer.into(into.resolve(String.format("%05d", n[0])), state);
                    } catch (IOException e) {
                        failed[0] = e;
                    }
                }
                n[0]++;
            });
            if (failed[0] != null) {
                throw failed[0];
            }
            out.println(told + " states of " + states.operations() + " operations");
            return 0;
        } catch (CrashStates.MalformedRecordingException e) {
            spec.commandLine().getErr().println(record + ": " + e.getMessage());
            return 2;
        }
    }
}
