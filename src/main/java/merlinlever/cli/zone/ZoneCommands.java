package merlinlever.cli.zone;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** What the program does with DNS zones. */
@Command(name = "zone", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "DNS zones: read, compare, serve, update, and follow the live fleet.")
public final class ZoneCommands implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }
}
