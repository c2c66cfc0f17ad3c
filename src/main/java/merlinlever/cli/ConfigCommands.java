package merlinlever.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands that print the schemas of configuration files and validate files without starting a service. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Print and check configuration schemas.",
        synopsisSubcommandLabel = "COMMAND")
final class ConfigCommands implements Runnable {

    private static final String SCHEMA_NAMES = "zone-serve, zone-follow, host-run or faults";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing subcommand");
    }

    @Command(
            name = "schema",
            mixinStandardHelpOptions = true,
            description = "Print a JSON Schema: " + SCHEMA_NAMES + ".")
    int schema(@Parameters(paramLabel = "NAME", description = "schema: " + SCHEMA_NAMES) String name) {
        Optional<ConfigSchema> schema = ConfigSchema.named(name);
        if (schema.isEmpty()) {
            return reportUnknownSchema(name);
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(schema.get().text());
        out.flush();
        return 0;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validate a configuration file against its schema; prints one line per error.")
    int check(
            @Parameters(paramLabel = "NAME", description = "schema: " + SCHEMA_NAMES) String name,
            @Parameters(paramLabel = "FILE", description = "configuration file") Path file) {
        Optional<ConfigSchema> schema = ConfigSchema.named(name);
        if (schema.isEmpty()) {
            return reportUnknownSchema(name);
        }
        try {
            ConfigFile.read(file, schema.get());
            spec.commandLine().getOut().println(file + ": good");
            return 0;
        } catch (InvalidConfigFileException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
    }

    private int reportUnknownSchema(String name) {
        spec.commandLine()
                .getErr()
                .println("merlinlever: unknown schema " + name + "; available: " + ConfigSchema.allNames());
        return 2;
    }
}
