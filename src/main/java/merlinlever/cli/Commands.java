package merlinlever.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import merlinlever.cli.dns.ZoneCommands;
import merlinlever.cli.faults.FaultsCommands;
import merlinlever.cli.fleet.FleetCommands;
import merlinlever.cli.fleet.HostCommands;
import merlinlever.simulator.WireHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The root of the command line, for everything but a plain {@code serve} or {@code wirehost}, which {@link Main} starts without
 * this class. The exit status of a command is 0, 1 where what was asked for did not hold, and 2 where it was asked for wrongly.
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
            ConfigCommands.class,
            MeasureCommands.class
        })
public final class Commands implements Runnable {

    @Spec
    private CommandSpec spec;

    /** {@code serve}, for the help and where options are given beside it. */
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

    /** {@code wirehost}, likewise. */
    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "Host decision modules on the bench's wire (standard input and output). Takes no arguments.")
    static final class WireHostHelp implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return new WireHost(System.in, System.out, System.err).serve();
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** Runs the command that the arguments name and returns its exit status. */
    public static int start(String... arguments) {
        return execute(new CommandLine(new Commands()), arguments);
    }

    /** The same with other streams than the console's. */
    public static int start(PrintWriter out, PrintWriter err, String... arguments) {
        CommandLine commandLine = new CommandLine(new Commands());
        commandLine.setOut(out);
        commandLine.setErr(err);
        return execute(commandLine, arguments);
    }

    private static int execute(CommandLine commandLine, String... arguments) {
        commandLine.setExecutionExceptionHandler((failure, command, parsed) -> {
            String message = failure.getMessage();
            String reason = message == null ? failure.getClass().getSimpleName() : message;
            command.getErr().println("merlinlever: " + reason);
            return 1;
        });
        return commandLine.execute(arguments);
    }
}
