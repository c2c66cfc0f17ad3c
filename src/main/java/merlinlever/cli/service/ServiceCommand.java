package merlinlever.cli.service;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A command that reads a configuration file and runs until SIGTERM. Its exit status is 1 if it cannot start. */
public abstract class ServiceCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description =
                    "configuration in YAML; 'config schema ${PARENT-COMMAND-NAME}-${COMMAND-NAME}' prints its schema")
    private Path file;

    @Option(names = "--log", paramLabel = "FORM", description = "log format: text or json (default: text)")
    private LoggingSetup.LogFormat logFormat = LoggingSetup.LogFormat.text;

    /** Returns the schema that the configuration file has to match. */
    protected abstract ConfigSchema schema();

    /**
     * Runs the service until SIGTERM.
     *
     * @throws InvalidConfigFileException if the service cannot start with the configuration
     */
    protected abstract void run(ConfigFile config) throws InvalidConfigFileException;

    @Override
    public final Integer call() {
        LoggingSetup.configure(logFormat);
        try {
            run(ConfigFile.read(file, schema()));
            return 0;
        } catch (InvalidConfigFileException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
    }
}
