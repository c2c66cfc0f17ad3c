package merlinlever.cli.faults;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.testing.faults.AgentFleet;
import merlinlever.testing.faults.FaultHarness;
import merlinlever.testing.faults.PowerLoss;
import merlinlever.testing.faults.ServeFleet;
import merlinlever.testing.faults.disk.CrashStates;
import merlinlever.testing.faults.disk.StateRestorer;
import merlinlever.testing.faults.script.FaultScript;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands for fault injection, for tests on one machine; never part of a deployment. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description =
                "Inject faults into real processes on loopback and audit them; enumerate the disk states after a power loss.")
public final class FaultsCommands implements Runnable {

    private static final String SEED = "[0-9a-fA-F]{1,16}";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int MIN_PROCESSES = 2;
    private static final int MAX_PROCESSES = 60;
    private static final int MAX_LOSSES = 100_000;
    private static final int POWER_REQUESTS_PER_SECOND = 12;
    private static final Duration POWER_WINDOW = Duration.ofSeconds(4);

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    private Consumer<String> progress() {
        PrintWriter out = out();
        return line -> {
            out.println(line);
            out.flush();
        };
    }

    @Command(
            name = "play",
            mixinStandardHelpOptions = true,
            description =
                    "Start connected host agents, inject the faults of a script into them and the network between them, "
                            + "end all faults, and check that the agents agree on the actual state of the fleet. Exits with 0 "
                            + "if they do, else with 1 and the seed and steps of the failure.")
    int play(
            @Parameters(
                            paramLabel = "SCRIPT",
                            description = "fault script in YAML; 'config schema faults' prints its schema")
                    Path script,
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "FOLDER",
                            description = "directory for state, logs and recordings; created if missing")
                    Path folder,
            @Option(names = "--seed", paramLabel = "HEX", description = "random seed; overrides the one in the script")
                    String seed)
            throws IOException, InterruptedException {
        FaultScript.FaultPlan plan;
        try {
            plan = FaultScript.read(ConfigFile.read(script, ConfigSchema.FAULTS));
        } catch (InvalidConfigFileException e) {
            err().println(e.getMessage());
            return 2;
        }
        if (seed != null && !seed.matches(SEED)) {
            err().println("merlinlever: --seed takes 1 to 16 hex digits, not " + seed);
            return 2;
        }
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            err().println("merlinlever: --folder " + folder + " is not a folder");
            return 2;
        }
        return play(seed == null ? plan : withSeed(plan, Long.parseUnsignedLong(seed, 16)), folder);
    }

    private static FaultScript.FaultPlan withSeed(FaultScript.FaultPlan plan, long seed) {
        return new FaultScript.FaultPlan(plan.processes(), seed, plan.length(), plan.settle(), plan.steps());
    }

    private int play(FaultScript.FaultPlan plan, Path folder) throws IOException, InterruptedException {
        Consumer<String> progress = progress();
        try (AgentFleet fleet =
                new AgentFleet(folder.toAbsolutePath(), plan.processes(), AgentFleet.sameJava(), plan.seed())) {
            FaultHarness harness = new FaultHarness(fleet, plan.seed(), progress);
            harness.startAll(START_TIMEOUT);
            progress.accept(plan.processes() + " agents answer; playing "
                    + plan.steps().size() + " steps over " + plan.length().toMillis() + " ms");
            FaultHarness.HarnessResult result = harness.play(plan);
            out().println(result.told());
            return result.passed() ? 0 : 1;
        }
    }

    @Command(
            name = "power",
            mixinStandardHelpOptions = true,
            description =
                    "Start backends with their clients and agents, simulate power losses at random times under load, and check "
                            + "that no request runs twice, no response is lost and service resumes. Exits with 0 if all checks "
                            + "pass, else with 1 and the seed of the failure.")
    int power(
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "FOLDER",
                            description = "directory for state, logs and recordings")
                    Path folder,
            @Option(
                            names = "--processes",
                            paramLabel = "N",
                            description = "number of backends, 2 to 60 (default: 5)",
                            defaultValue = "5")
                    int processes,
            @Option(
                            names = "--losses",
                            paramLabel = "N",
                            description =
                                    "number of power losses, one at a time, rotating over the kinds (default: 10)",
                            defaultValue = "10")
                    int losses,
            @Option(
                            names = "--seed",
                            paramLabel = "HEX",
                            description = "random seed of the first power loss; each next one adds 1 (default: 1)",
                            defaultValue = "1")
                    String seed,
            @Option(names = "--without", description = "as a baseline: backends persist no recovery state")
                    boolean withoutRecovery)
            throws IOException, InterruptedException {
        if (processes < MIN_PROCESSES
                || processes > MAX_PROCESSES
                || losses < 1
                || losses > MAX_LOSSES
                || !seed.matches(SEED)) {
            err().println(
                            "merlinlever: --processes is from 2 to 60, --losses from 1 to 100000, --seed 1 to 16 hex digits");
            return 2;
        }
        long firstSeed = Long.parseUnsignedLong(seed, 16);
        try (ServeFleet fleet = new ServeFleet(
                folder.toAbsolutePath(),
                new ServeFleet.ServeFleetSettings(processes, !withoutRecovery, POWER_REQUESTS_PER_SECOND, POWER_WINDOW),
                AgentFleet.sameJava(),
                firstSeed)) {
            PowerLoss powerLoss = new PowerLoss(fleet, START_TIMEOUT, progress());
            powerLoss.begin();
            int failedLosses = 0;
            PowerLoss.PowerLossKind[] kinds = PowerLoss.PowerLossKind.values();
            for (int i = 0; i < losses; i++) {
                long lossSeed = firstSeed + i;
                int kind = (int) Long.remainderUnsigned(lossSeed, kinds.length);
                PowerLoss.PowerLossOutcome outcome = powerLoss.play(kinds[kind], lossSeed);
                failedLosses += outcome.breaches().isEmpty() ? 0 : 1;
            }
            List<String> breaches = new ArrayList<>(powerLoss.end());
            breaches.addAll(powerLoss.incarnations());
            breaches.forEach(breach -> out().println("breach: " + breach));
            boolean isPassed = failedLosses == 0 && breaches.isEmpty();
            out().println(powerSummary(isPassed, losses, failedLosses, fleet));
            return isPassed ? 0 : 1;
        }
    }

    private static String powerSummary(boolean isPassed, int losses, int failedLosses, ServeFleet fleet) {
        Object[] counts = Arrays.stream(fleet.rules().counts()).boxed().toArray();
        return (isPassed ? "passed" : "FAILED") + ": " + losses + " losses, " + failedLosses + " failed; "
                + String.format(
                        Locale.ROOT,
                        "tries %d satisfied, %d pushed back, %d failed, %d without an answer; %d operations with an effect, ",
                        counts)
                + fleet.rules().violationCount() + " breaches";
    }

    @Command(
            name = "states",
            mixinStandardHelpOptions = true,
            description =
                    "Enumerate the states in which a power loss may leave a state directory, from a recording of its file "
                            + "operations (MERLINLEVER_DISK_RECORD); with --out, write each state to a directory.")
    int states(
            @Parameters(paramLabel = "RECORD", description = "recorded file operations (.ops)") Path recording,
            @Option(
                            names = "--out",
                            paramLabel = "FOLDER",
                            description = "parent directory of the states, which are named 00000, 00001, ...")
                    Path restoreInto)
            throws IOException {
        if (!Files.isRegularFile(recording)) {
            err().println(recording + ": no such file");
            return 2;
        }
        try {
            CrashStates states = CrashStates.parse(Files.readString(recording, StandardCharsets.US_ASCII));
            CrashStatePrinter printer = new CrashStatePrinter(states.operations(), restoreInto);
            int count = states.forEachState(printer::print);
            out().println(count + " states of " + states.operations() + " operations");
            return 0;
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (CrashStates.MalformedRecordingException e) {
            err().println(recording + ": " + e.getMessage());
            return 2;
        }
    }

    /** Prints a line for each state and restores it into a folder of its own where there is one for them. */
    private final class CrashStatePrinter {
        private final int operations;
        private final Path restoreInto;
        private int number;

        CrashStatePrinter(int operations, Path restoreInto) {
            this.operations = operations;
            this.restoreInto = restoreInto;
        }

        void print(CrashStates.CrashState state) {
            String name = String.format("%05d", number++);
            out().println(name + " after " + state.cut() + " of " + operations + ": " + state.description() + ", "
                    + state.files().size() + " files");
            if (restoreInto != null) {
                try {
                    StateRestorer.restore(restoreInto.resolve(name), state);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }
}
