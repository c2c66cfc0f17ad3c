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
 * The root command. {@link Main} runs {@code serve} and {@code wirehost} without this class unless they have options.
 * The exit status of a command is 0 on success, 1 on failure or if a check found a difference, and 2 on wrong usage.
 */
@Command(
        name = "merlinlever",
        mixinStandardHelpOptions = true,
        version = "merlinlever 0.2.0",
        description = "Overload control for request servers, with tools to operate a fleet of them.",
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

    /**
     * Declares {@code serve} for the help text and for options; without options {@link Main} runs the command directly.
     */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Run one backend with the configuration file named by GW_CONFIG. Takes no arguments.")
    static final class ServeHelp implements Callable<Integer> {
        @Override
        public Integer call() {
            return ServeCommand.main(System.getenv());
        }
    }

    /**
     * Declares {@code wirehost} for the help text and for options; without options {@link Main} runs the command
     * directly.
     */
    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "Run controllers for simulated servers over standard input and output. Takes no arguments.")
    static final class WireHostHelp implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return new WireHost(System.in, System.out, System.err).serve();
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing subcommand");
    }

    /** Runs the command given by the arguments and returns its exit status. */
    public static int start(String... arguments) {
        return execute(new CommandLine(new Commands()), arguments);
    }

    /**
     * Runs the command given by the arguments with the given streams in place of the console, and returns its exit
     * status.
     */
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
