package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Path;
import merlinlever.testing.measurement.DnsMeasurement;
import merlinlever.testing.measurement.ExperimentMeasurement;
import merlinlever.testing.measurement.QuotaMeasurement;
import merlinlever.testing.measurement.RecoveryMeasurement;
import merlinlever.testing.measurement.ReplicationMeasurement;
import merlinlever.testing.measurement.RoutesMeasurement;
import merlinlever.testing.measurement.ViewMeasurement;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Commands that measure components of this program; each writes tables and charts to a directory. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Measure components of this program against baselines, on this machine only.")
final class MeasureCommands implements Runnable {

    private static final String DURATION_NOTE = " Takes some minutes.";

    @Spec
    private CommandSpec spec;

    /** Options of all measurements: the output directory and the size. */
    static final class MeasureOptions {
        @Option(
                names = "--out",
                required = true,
                paramLabel = "FOLDER",
                description = "directory for tables and charts")
        private Path out;

        @Option(names = "--quick", description = "small sizes, as a smoke test")
        private boolean quick;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing subcommand");
    }

    @Command(
            name = "dns",
            mixinStandardHelpOptions = true,
            description =
                    "DNS server: zone file parsing, lookups, updates, queries and following a fleet." + DURATION_NOTE)
    void dns(@Mixin MeasureOptions options) throws Exception {
        new DnsMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "budgets",
            mixinStandardHelpOptions = true,
            description = "Fleet quotas: up to 1,000 simulated backends, and real backends under injected faults."
                    + DURATION_NOTE)
    void budgets(@Mixin MeasureOptions options) throws IOException, InterruptedException {
        new QuotaMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "trials",
            mixinStandardHelpOptions = true,
            description =
                    "Experiments with early stopping: false winners, requests needed, spread of the stop in simulated fleets."
                            + DURATION_NOTE)
    void trials(@Mixin MeasureOptions options) throws IOException {
        new ExperimentMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "routes",
            mixinStandardHelpOptions = true,
            description =
                    "Routes to partner sites: merging of tables; in simulation, tightening of routes and loss of a downstream service."
                            + DURATION_NOTE)
    void routes(@Mixin MeasureOptions options) throws IOException {
        new RoutesMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "shared",
            mixinStandardHelpOptions = true,
            description = "Replicated state: up to 500 simulated backends, compared with sending the full state."
                    + DURATION_NOTE)
    void shared(@Mixin MeasureOptions options) throws IOException {
        new ReplicationMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "view",
            mixinStandardHelpOptions = true,
            description = "Fleet view: up to 1,000 simulated backends, compared with membership alone." + DURATION_NOTE)
    void view(@Mixin MeasureOptions options) throws IOException {
        new ViewMeasurement(options.out, options.quick).run();
    }

    @Command(
            name = "recovery",
            mixinStandardHelpOptions = true,
            description = "Recovery of backends from power losses, with and without persisted state." + DURATION_NOTE)
    void recovery(@Mixin MeasureOptions options) throws IOException, InterruptedException {
        new RecoveryMeasurement(options.out, options.quick).run();
    }
}
