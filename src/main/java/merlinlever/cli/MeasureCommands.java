package merlinlever.cli;

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

/** The group of commands that measure parts of this program; each writes tables and charts into a folder. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Measure parts of this program against plain ones, on this machine alone.")
final class MeasureCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    /** Where a measurement writes its results, and how large it is. */
    static final class MeasureOptions {
        @Option(names = "--out", required = true, paramLabel = "FOLDER", description = "for tables and charts")
        private Path out;

        @Option(names = "--quick", description = "small sizes, to see that it runs")
        private boolean quick;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    @Command(
            name = "dns",
            mixinStandardHelpOptions = true,
            description = "Zone files, index, updates, queries, following. Some minutes.")
    int dns(@Mixin MeasureOptions options) throws Exception {
        new DnsMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "budgets",
            mixinStandardHelpOptions = true,
            description =
                    "Limits of the whole fleet: on virtual time with up to 1,000 backends, and on real ones under "
                            + "faults. Some minutes.")
    int budgets(@Mixin MeasureOptions options) throws Exception {
        new QuotaMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "trials",
            mixinStandardHelpOptions = true,
            description = "Trials stopped early: wrong winners, operations needed, the way of an end through fleets on "
                    + "virtual time. Some minutes.")
    int trials(@Mixin MeasureOptions options) throws Exception {
        new ExperimentMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "routes",
            mixinStandardHelpOptions = true,
            description = "Routes of partner sites: merging, and on virtual time tightening and the loss of a records "
                    + "service. Some minutes.")
    int routes(@Mixin MeasureOptions options) throws Exception {
        new RoutesMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "shared",
            mixinStandardHelpOptions = true,
            description = "Words that all backends share, on virtual time with up to 500 of them, against telling "
                    + "everything. Some minutes.")
    int shared(@Mixin MeasureOptions options) throws Exception {
        new ReplicationMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "view",
            mixinStandardHelpOptions = true,
            description = "Who is there: up to 1,000 backends in virtual time, beside membership alone. Some minutes.")
    int view(@Mixin MeasureOptions options) throws Exception {
        new ViewMeasurement(options.out, options.quick).run();
        return 0;
    }

    @Command(
            name = "recovery",
            mixinStandardHelpOptions = true,
            description = "Fleets of backends that lose their power and come back, with what they keep and without. "
                    + "Some minutes.")
    int recovery(@Mixin MeasureOptions options) throws Exception {
        new RecoveryMeasurement(options.out, options.quick).run();
        return 0;
    }
}
