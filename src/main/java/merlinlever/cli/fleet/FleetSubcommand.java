package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What all commands here share. */
abstract class FleetSubcommand implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Which agents, and how their answers are shown. */
    static final class AgentOptions {
        @Option(
                names = "--agent",
                paramLabel = "ADDRESS:PORT",
                required = true,
                description = "an agent; may come several times")
        private List<String> agents = List.of();

        @Option(
                names = "--secret-file",
                paramLabel = "FILE",
                required = true,
                description = "the secret that the agents know")
        private Path secretFile;

        @Option(names = "--output", paramLabel = "FORM", description = "table or json (default: table)")
        OutputFormat form = OutputFormat.table;

        List<AgentClient> clients(CommandSpec spec) {
            try {
                String secret = Files.readString(secretFile).strip();
                List<AgentClient> clients = new ArrayList<>();
                for (String agent : agents) {
                    if (!agent.matches("(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}")) {
                        throw new CommandLine.ParameterException(
                                spec.commandLine(), "--agent: expected ADDRESS:PORT, found " + agent);
                    }
                    clients.add(new AgentClient(agent, secret));
                }
                return clients;
            } catch (IOException e) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--secret-file: cannot be read: " + secretFile);
            }
        }
    }

    /** Which instances; all conditions have to hold. */
    static final class InstanceFilter {
        @Parameters(paramLabel = "NAME", arity = "0..*", description = "instances, by name")
        List<String> names = List.of();

        @Option(names = "--host", paramLabel = "NAME", description = "those of this machine")
        private String host;

        @Option(
                names = "--label",
                paramLabel = "KEY=VALUE",
                description = "those with this label; may come several times")
        private Map<String, String> labels = new LinkedHashMap<>();

        @Option(
                names = "--state",
                paramLabel = "STATE",
                description =
                        "those in this state: down, starting, cold, warm, there, slow, hung, draining, unreached, given_up")
        private String state;

        @Option(names = "--all", description = "all of them")
        private boolean all;

        boolean any() {
            return all || !names.isEmpty() || host != null || !labels.isEmpty() || state != null;
        }

        boolean takes(JsonNode instance) {
            boolean takes =
                    names.isEmpty() || names.contains(instance.path("name").asText());
            takes &= host == null || host.equals(instance.path("host").asText());
            takes &= state == null
                    || state.toLowerCase(Locale.ROOT)
                            .replace('-', '_')
                            .equals(instance.path("state").asText());
            for (Map.Entry<String, String> label : labels.entrySet()) {
                takes &= label.getValue()
                        .equals(instance.path("labels").path(label.getKey()).asText(null));
            }
            return takes;
        }
    }

    /** The forms of output. */
    enum OutputFormat {
        table,
        json
    }

    @Spec
    CommandSpec spec;

    @Mixin
    AgentOptions where;

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** The instances of all agents that answer, and in {@code silent} those agents that do not. */
    List<JsonNode> instances(List<AgentClient> clients, List<String> silent) {
        // Of an instance that several agents tell of, the youngest report counts.
        Map<String, JsonNode> youngest = new LinkedHashMap<>();
        Map<String, Long> ages = new LinkedHashMap<>();
        Map<String, String> unknown = new LinkedHashMap<>();
        for (AgentClient client : clients) {
            AgentClient.AgentResponse answer = client.get("/fleet");
            if (answer.status() != 200) {
                silent.add("agent " + client.address() + ": " + answer.why());
                continue;
            }
            for (JsonNode agent : answer.body().path("agents")) {
                String host = agent.path("host").asText();
                if (!agent.path("report_ms_ago").isNumber()) {
                    if (!agent.path("status").asText().equals("left")) {
                        unknown.putIfAbsent(
                                host,
                                "agent " + host + " at " + agent.path("api").asText() + " is "
                                        + agent.path("status").asText() + " and has not told of its instances");
                    }
                    continue;
                }
                long age = agent.path("report_ms_ago").asLong();
                for (JsonNode instance : agent.path("instances")) {
                    String key = host + " " + instance.path("name").asText();
                    if (age < ages.getOrDefault(key, Long.MAX_VALUE)) {
                        ages.put(key, age);
                        youngest.put(
                                key,
                                ((ObjectNode) instance)
                                        .put("agent", agent.path("api").asText()));
                    }
                }
                unknown.put(host, "");
            }
        }
        unknown.values().stream().filter(line -> !line.isEmpty()).forEach(silent::add);
        return new ArrayList<>(youngest.values());
    }

    void print(List<JsonNode> instances) {
        if (where.form == OutputFormat.json) {
            ArrayNode array = JSON.createArrayNode();
            instances.forEach(array::add);
            out().println(array.toPrettyString());
            return;
        }
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"NAME", "HOST", "STATE", "HEARD", "AGE", "PID", "HELD", "RUN", "VIEW", "ABOUT"});
        for (JsonNode instance : instances) {
            JsonNode told = instance.path("told");
            rows.add(new String[] {
                instance.path("name").asText(),
                instance.path("host").asText(),
                instance.path("state").asText(),
                ago(instance.path("heard_ms_ago")),
                ago(instance.path("age_ms")),
                instance.path("pid").asLong() == 0 ? "-" : instance.path("pid").asText(),
                told.path("held").asText("-"),
                told.path("running").asText("-"),
                view(told.path("view")),
                instance.path("why").asText()
            });
        }
        table(rows);
    }

    /** Its standing, and which view it holds by the first digits of the digest: who holds another stands out in the column. */
    static String view(JsonNode view) {
        return !view.isObject()
                ? "-"
                : view.path("standing").asText() + " " + view.path("number").asText() + "/"
                        + view.path("digest").asText().replaceFirst("(.{6}).*", "$1");
    }

    void table(List<String[]> rows) {
        int[] widths = new int[rows.get(0).length];
        rows.forEach(row -> {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        });
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                line.append(row[i]).append(i == row.length - 1 ? "" : " ".repeat(widths[i] - row[i].length() + 2));
            }
            out().println(line.toString().stripTrailing());
        }
        out().flush();
    }

    static String ago(JsonNode ms) {
        if (!ms.isNumber()) {
            return "-";
        }
        double seconds = ms.asLong() / 1000.0;
        return seconds < 100
                ? String.format(Locale.ROOT, "%.1fs", seconds)
                : String.format(Locale.ROOT, "%dm", (long) seconds / 60);
    }

    int told(List<String> silent) {
        silent.forEach(err()::println);
        err().flush();
        return silent.isEmpty() ? 0 : 1;
    }
}
