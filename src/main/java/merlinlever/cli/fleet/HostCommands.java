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

/** The group of commands for the host agent of one machine. */
@Command(
        name = "host",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Host agent: supervises the instances of one machine.",
        subcommands = HostCommands.HostRunCommand.class)
public final class HostCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** {@code host run}: runs the agent, whose instances continue to run after its end unless the agent drains them. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Supervise the instances listed in a configuration file. On SIGTERM the agent exits and its instances keep running; "
                            + "the next agent adopts them.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {
                "1:startup failed; the reason is on standard error",
                "2:wrong usage",
                "143:terminated by SIGTERM"
            })
    static final class HostRunCommand extends ServiceCommand {

        @Option(names = "--drain", description = "on SIGTERM, drain all instances and exit when all have stopped")
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
