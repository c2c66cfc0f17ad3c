package merlinlever.cli.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The options for the agents to query and for the output format. */
final class AgentOptions {

    private static final String ADDRESS_AND_PORT = "(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}";

    @Option(
            names = "--agent",
            paramLabel = "ADDRESS:PORT",
            required = true,
            description = "address of a host agent; repeatable")
    private List<String> agents = List.of();

    @Option(
            names = "--secret-file",
            paramLabel = "FILE",
            required = true,
            description = "file with the secret that is shared with the agents")
    private Path secretFile;

    @Option(names = "--output", paramLabel = "FORM", description = "output format: table or json (default: table)")
    private OutputFormat format = OutputFormat.table;

    OutputFormat format() {
        return format;
    }

    /**
     * Returns one client for each agent, in the order of the command line.
     *
     * @throws CommandLine.ParameterException if an address is invalid or the secret cannot be read
     */
    List<AgentClient> clients(CommandSpec spec) {
        String secret = readSecret(spec);
        List<AgentClient> clients = new ArrayList<>();
        for (String agent : agents) {
            if (!agent.matches(ADDRESS_AND_PORT)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--agent: expected ADDRESS:PORT, found " + agent);
            }
            clients.add(new AgentClient(agent, secret));
        }
        return clients;
    }

    private String readSecret(CommandSpec spec) {
        try {
            return Files.readString(secretFile).strip();
        } catch (IOException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--secret-file: cannot be read: " + secretFile, e);
        }
    }
}
