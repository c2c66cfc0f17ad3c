package merlinlever.cli.fleet;

import merlinlever.cli.service.ServiceCommand;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The group of commands about the agent of one machine. */
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

    /** {@code host run}: the agent, which ends without its instances unless it is to drain them. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Keep the instances that a file describes. SIGTERM ends the agent and leaves them running; the next agent takes them over.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"1:it cannot start; the reason is on standard error", "2:wrong usage", "143:told to leave"})
    static final class HostRunCommand extends ServiceCommand {

        @Option(names = "--drain", description = "at SIGTERM tell all instances to leave, and end when all are down")
        private boolean drain;

        @Override
        protected ConfigSchema schema() {
            return ConfigSchema.HOST_RUN;
        }

        @Override
        protected void run(ConfigFile config) throws InvalidConfigFileException {
            new HostAgentProcess(config, drain).run();
        }
    }
}
