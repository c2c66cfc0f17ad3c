package merlinlever.cli.fleet;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import merlinlever.cli.LoggingSetup;
import merlinlever.config.ConfigFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The agent of one machine. */
@Command(
        name = "host",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "The agent that keeps the instances of one machine.",
        subcommands = HostCommands.HostRunCommand.class)
public final class HostCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** Runs until it is told to leave; the instances stay. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Keep the instances that a file describes. SIGTERM ends the agent and leaves them running; the next agent takes them over.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"1:it cannot start; the reason is on standard error", "2:wrong usage", "143:told to leave"})
    static final class HostRunCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "YAML; 'config schema host-run' prints its form")
        private Path file;

        @Option(names = "--drain", description = "at SIGTERM tell all instances to leave, and end when all are down")
        private boolean drain;

        @Option(names = "--log", paramLabel = "FORM", description = "text or json (default: text)")
        private LoggingSetup.LogFormat form = LoggingSetup.LogFormat.text;

        @Override
        public Integer call() {
            LoggingSetup.start(form);
            try {
                new HostAgentProcess(ConfigFile.read(file, "host-run"), drain).run();
                return 0;
            } catch (ConfigFile.InvalidConfigFileException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 1;
            }
        }
    }
}
