package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What operators do with instances through the agents. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "List, start, drain, stop and restart instances through their agents.",
        subcommands = {
            FleetCommands.ListCommand.class,
            FleetCommands.ShowCommand.class,
            OrderCommand.StartCommand.class,
            OrderCommand.DrainCommand.class,
            OrderCommand.StopCommand.class,
            OrderCommand.RestartCommand.class,
            RollCommand.class,
            FleetCommands.EventsCommand.class,
            FleetCommands.WatchCommand.class,
            FleetCommands.QuotasCommand.class,
            RecoverCommand.class
        })
public final class FleetCommands implements Runnable {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Which command?");
    }

    /** All instances, a line each. */
    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "List instances with their states, and how long ago each was heard.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:all agents answered", "1:at least one did not", "2:wrong usage"})
    static final class ListCommand extends FleetSubcommand {
        @Mixin
        private InstanceFilter which;

        @Override
        public Integer call() {
            List<String> silent = new ArrayList<>();
            print(instances(where.clients(spec), silent).stream()
                    .filter(which::takes)
                    .toList());
            return told(silent);
        }
    }

    /** Everything about some. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Show everything that is known of instances, as JSON.")
    static final class ShowCommand extends FleetSubcommand {
        @Mixin
        private InstanceFilter which;

        @Override
        public Integer call() {
            List<String> silent = new ArrayList<>();
            List<JsonNode> found = instances(where.clients(spec), silent).stream()
                    .filter(which::takes)
                    .toList();
            found.forEach(instance -> out().println(instance.toPrettyString()));
            out().flush();
            if (found.isEmpty() && silent.isEmpty()) {
                err().println("no such instance");
                return 1;
            }
            return told(silent);
        }
    }

    /** A table that is drawn again and again. */
    @Command(
            name = "budgets",
            mixinStandardHelpOptions = true,
            description = "Show each backend's share of the limits of the whole fleet, how old that is, and the sum.",
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:all agents answered", "1:at least one did not", "2:wrong usage"})
    static final class QuotasCommand extends FleetSubcommand {
        @Override
        public Integer call() {
            List<String> silent = new ArrayList<>();
            List<JsonNode> instances = instances(where.clients(spec), silent);
            if (where.form == OutputFormat.json) {
                ArrayNode array = JSON.createArrayNode();
                instances.forEach(instance -> instance.path("told")
                        .path("shares")
                        .forEach(share -> array.add(((ObjectNode) share.deepCopy())
                                .put("instance", instance.path("name").asText())
                                .put("host", instance.path("host").asText())
                                .put(
                                        "heard_ms_ago",
                                        instance.path("heard_ms_ago").asLong()))));
                out().println(array.toPrettyString());
                out().flush();
                return told(silent);
            }
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"BUDGET", "NAME", "HOST", "SHARE", "IN USE", "LEFT", "HEARD", "DIVIDED BY"});
            Map<String, long[]> sums = new java.util.TreeMap<>();
            for (JsonNode instance : instances) {
                for (JsonNode share : instance.path("told").path("shares")) {
                    rows.add(new String[] {
                        share.path("name").asText(),
                        instance.path("name").asText(),
                        instance.path("host").asText(),
                        share.path("share").asText(),
                        share.path("inUse").asText(),
                        ago(share.path("leftMs")),
                        ago(instance.path("heard_ms_ago")),
                        share.path("leader").asText().isEmpty()
                                ? "nobody"
                                : share.path("leader").asText() + ", term "
                                        + share.path("term").asText()
                    });
                    long[] sum = sums.computeIfAbsent(share.path("name").asText(), none -> new long[3]);
                    sum[0] += share.path("share").asLong();
                    sum[1] = Math.max(sum[1], share.path("whole").asLong());
                    sum[2]++;
                }
            }
            table(rows);
            // Looked at one after the other; a share that moved in between is in it twice or not at all.
            sums.forEach((name, sum) -> out().println(name + ": " + sum[0] + " of " + sum[1] + " held by " + sum[2]));
            out().flush();
            return told(silent);
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Show the list again each second, until it is interrupted.")
    static final class WatchCommand extends FleetSubcommand {
        @Mixin
        private InstanceFilter which;

        @Option(names = "--times", paramLabel = "N", description = "so often, then end (default: until interrupted)")
        private int times = Integer.MAX_VALUE;

        @Override
        public Integer call() throws InterruptedException {
            List<AgentClient> clients = where.clients(spec);
            for (int i = 0; i < times; i++) {
                List<String> silent = new ArrayList<>();
                List<JsonNode> found =
                        instances(clients, silent).stream().filter(which::takes).toList();
                if (where.form == OutputFormat.table && System.console() != null) {
                    out().print("\033[H\033[2J");
                }
                print(found);
                told(silent);
                if (i + 1 < times) {
                    Thread.sleep(1000);
                }
            }
            return 0;
        }
    }

    /** What happened. */
    @Command(name = "events", mixinStandardHelpOptions = true, description = "Show what has happened, oldest first.")
    static final class EventsCommand extends FleetSubcommand {
        @Override
        public Integer call() {
            List<String> silent = new ArrayList<>();
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"AGO", "HOST", "INSTANCE", "WHAT"});
            ArrayNode all = JSON.createArrayNode();
            for (AgentClient client : where.clients(spec)) {
                AgentClient.AgentResponse answer = client.get("/events");
                if (answer.status() != 200) {
                    silent.add("agent " + client.address() + ": " + answer.why());
                    continue;
                }
                for (JsonNode event : answer.body().path("events")) {
                    double ago = (answer.body().path("now_ms").asLong()
                                    - event.path("at_ms").asLong())
                            / 1000.0;
                    rows.add(new String[] {
                        String.format(Locale.ROOT, "%.1fs", ago),
                        answer.body().path("host").asText(),
                        event.path("instance").asText(),
                        event.path("what").asText()
                    });
                    all.add(((ObjectNode) event)
                            .put("host", answer.body().path("host").asText()));
                }
            }
            if (where.form == OutputFormat.json) {
                out().println(all.toPrettyString());
            } else {
                table(rows);
            }
            return told(silent);
        }
    }
}
