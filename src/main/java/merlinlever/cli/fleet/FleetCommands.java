package merlinlever.cli.fleet;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The group of commands with which operators inspect and control instances through their agents. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "List, start, drain, stop and restart instances through their host agents.",
        subcommands = {
            ListCommand.class,
            ShowCommand.class,
            OrderCommand.StartCommand.class,
            OrderCommand.DrainCommand.class,
            StopCommand.class,
            OrderCommand.RestartCommand.class,
            RollCommand.class,
            EventsCommand.class,
            WatchCommand.class,
            QuotasCommand.class,
            RecoverCommand.class
        })
public final class FleetCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }
}
