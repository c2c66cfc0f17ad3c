package merlinlever.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import merlinlever.cli.faults.FaultsCommands;
import merlinlever.cli.fleet.FleetCommands;
import merlinlever.cli.fleet.HostCommands;
import merlinlever.cli.zone.ZoneCommands;
import merlinlever.config.ConfigFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line beside {@code serve} and {@code wirehost}. A command ends with 0, with 1 where what was asked for did
 * not hold, and with 2 where it was asked for wrongly.
 */
@Command(
        name = "merlinlever",
        mixinStandardHelpOptions = true,
        version = "merlinlever 0.2.0",
        description = "Decides, inside each server of a fleet, what it takes, runs and turns away.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Commands.ServeHelp.class,
            Commands.WireHostHelp.class,
            ZoneCommands.class,
            HostCommands.class,
            FleetCommands.class,
            FaultsCommands.class,
            Commands.ConfigCommands.class,
            Commands.MeasureCommands.class
        })
public final class Commands implements Runnable {

    @Spec
    private CommandSpec spec;

    /** Listed here for the help; {@link Main} starts it without this class. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serve as one real backend, told by the file that GW_CONFIG names. Takes no arguments.")
    static final class ServeHelp implements Callable<Integer> {
        @Override
        public Integer call() {
            return ServeCommand.main(System.getenv());
        }
    }

    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "Host decision modules on the bench's wire (standard input and output). Takes no arguments.")
    static final class WireHostHelp implements Callable<Integer> {
        @Override
        public Integer call() throws java.io.IOException {
            return new merlinlever.wire.WireHost(System.in, System.out, System.err).serve();
        }
    }

    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            description = "The forms of configuration files.",
            synopsisSubcommandLabel = "COMMAND")
    static final class ConfigCommands implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
        }

        @Command(
                name = "schema",
                mixinStandardHelpOptions = true,
                description =
                        "Print the JSON Schema that a configuration is checked against: zone-serve, zone-follow, host-run or faults.")
        int schema(
                @Parameters(paramLabel = "NAME", description = "zone-serve, zone-follow, host-run or faults")
                        String name) {
            String text = ConfigFile.schema(name);
            if (text == null) {
                spec.commandLine()
                        .getErr()
                        .println("merlinlever: no schema " + name + "; there are "
                                + String.join(", ", ConfigFile.SCHEMAS));
                return 2;
            }
            PrintWriter out = spec.commandLine().getOut();
            out.print(text);
            out.flush();
            return 0;
        }

        @Command(
                name = "check",
                mixinStandardHelpOptions = true,
                description = "Check a configuration file against its schema; one line for each fault.")
        int check(
                @Parameters(paramLabel = "NAME", description = "zone-serve, zone-follow, host-run or faults")
                        String name,
                @Parameters(paramLabel = "FILE", description = "the file") java.nio.file.Path file) {
            if (ConfigFile.schema(name) == null) {
                return schema(name);
            }
            try {
                ConfigFile.read(file, name);
                spec.commandLine().getOut().println(file + ": good");
                return 0;
            } catch (ConfigFile.InvalidConfigFileException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 1;
            }
        }
    }

    /** Where a measurement leaves its tables and charts, and how large it is. */
    static final class MeasureOptions {
        @CommandLine.Option(
                names = "--out",
                required = true,
                paramLabel = "FOLDER",
                description = "for tables and charts")
        private java.nio.file.Path out;

        @CommandLine.Option(names = "--quick", description = "small sizes, to see that it runs")
        private boolean quick;
    }

    @Command(
            name = "measure",
            mixinStandardHelpOptions = true,
            synopsisSubcommandLabel = "COMMAND",
            description = "Measure parts of this program against plain ones, on this machine alone.")
    static final class MeasureCommands implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
        }

        @Command(
                name = "dns",
                mixinStandardHelpOptions = true,
                description = "Zone files, index, updates, queries, following. Some minutes.")
        int dns(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.DnsMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "budgets",
                mixinStandardHelpOptions = true,
                description =
                        "Limits of the whole fleet: on virtual time with up to 1,000 backends, and on real ones under faults. Some minutes.")
        int budgets(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.QuotaMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "trials",
                mixinStandardHelpOptions = true,
                description =
                        "Trials stopped early: wrong winners, operations needed, the way of an end through fleets on virtual time. Some minutes.")
        int trials(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.ExperimentMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "routes",
                mixinStandardHelpOptions = true,
                description =
                        "Routes of partner sites: merging, and on virtual time tightening and the loss of a records service. Some minutes.")
        int routes(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.RoutesMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "shared",
                mixinStandardHelpOptions = true,
                description =
                        "Words that all backends share, on virtual time with up to 500 of them, against telling everything. Some minutes.")
        int shared(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.ReplicationMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "view",
                mixinStandardHelpOptions = true,
                description =
                        "Who is there: up to 1,000 backends in virtual time, beside membership alone. Some minutes.")
        int view(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.ViewMeasurement(to.out, to.quick).run();
            return 0;
        }

        @Command(
                name = "recovery",
                mixinStandardHelpOptions = true,
                description =
                        "Fleets of backends that lose their power and come back, with what they keep and without. Some minutes.")
        int recovery(@CommandLine.Mixin MeasureOptions to) throws Exception {
            new merlinlever.measure.RecoveryMeasurement(to.out, to.quick).run();
            return 0;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** Runs what the arguments name and returns the exit status. */
    public static int start(String... args) {
        return start(null, null, args);
    }

    /** The same with other streams than the console's, where they are given. */
    public static int start(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line = new CommandLine(new Commands());
        if (out != null) {
            line.setOut(out);
            line.setErr(err);
        }
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            String said = failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
            command.getErr().println("merlinlever: " + said);
            return 1;
        });
        return line.execute(args);
    }
}
