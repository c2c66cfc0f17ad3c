package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** What the orders share. */
abstract class OrderCommand extends FleetSubcommand {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Mixin
    InstanceFilter which;

    @Option(names = "--wait", description = "until it has happened, or cannot")
    boolean wait;

    @Option(names = "--timeout", paramLabel = "SECONDS", description = "for --wait (default: 120)")
    int timeout = 120;

    @Option(names = "--dry-run", description = "show which instances it would be and order nothing")
    boolean dryRun;

    @Option(
            names = "--id",
            paramLabel = "ID",
            description = "of the order; sent again under the same id it is not done again")
    String id;

    abstract String verb();

    boolean now() {
        return false;
    }

    /** Whether the person agrees; asked before anything is ordered. */
    boolean agreed(List<JsonNode> chosen) {
        return true;
    }

    @Override
    public Integer call() throws InterruptedException {
        if (!which.any()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "Which instances? Give names, --host, --label, --state or --all.");
        }
        List<AgentClient> clients = where.clients(spec);
        List<String> silent = new ArrayList<>();
        List<JsonNode> chosen =
                instances(clients, silent).stream().filter(which::takes).toList();
        for (String name : which.names) {
            if (chosen.stream()
                    .noneMatch(instance -> instance.path("name").asText().equals(name))) {
                silent.add(
                        "no instance " + name + " is known" + (silent.isEmpty() ? "" : " to the agents that answered"));
            }
        }
        if (!silent.isEmpty()) {
            // Part of what was asked for cannot be seen to: nothing of it is begun.
            told(silent);
            err().println("nothing was ordered");
            return 1;
        }
        if (chosen.isEmpty()) {
            err().println("no instance fits; nothing was ordered");
            return 1;
        }
        if (dryRun) {
            chosen.forEach(instance -> out().println(
                            "would " + verb() + " " + instance.path("name").asText() + " ("
                                    + instance.path("state").asText() + ")"));
            out().flush();
            return 0;
        }
        if (!agreed(chosen)) {
            err().println("nothing was ordered");
            return 1;
        }
        String base = id == null ? UUID.randomUUID().toString() : id;
        Map<String, List<JsonNode>> byAgent = chosen.stream()
                .collect(Collectors.groupingBy(i -> i.path("agent").asText(), LinkedHashMap::new, Collectors.toList()));
        Map<AgentClient, JsonNode> orders = new LinkedHashMap<>();
        boolean well = true;
        for (String address : byAgent.keySet()) {
            AgentClient client = clients.get(0).at(address);
            ObjectNode order =
                    JSON.createObjectNode().put("id", base).put("verb", verb()).put("now", now());
            ArrayNode names = order.putArray("names");
            byAgent.get(client.address())
                    .forEach(instance -> names.add(instance.path("name").asText()));
            AgentClient.AgentResponse answer = client.order(order);
            if (answer.status() == 200) {
                orders.put(client, answer.body());
            } else {
                well = false;
                err().println("agent " + client.address() + ": " + answer.why()
                        + (answer.status() == 0
                                ? "; whether it took the order is not known, send it again with --id " + base
                                : ""));
            }
        }
        return follow(orders, base) && well ? 0 : 1;
    }

    private boolean follow(Map<AgentClient, JsonNode> orders, String base) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(timeout).toNanos();
        Map<String, String> shown = new LinkedHashMap<>();
        while (true) {
            boolean over = true;
            for (Map.Entry<AgentClient, JsonNode> entry : orders.entrySet()) {
                for (JsonNode instance : entry.getValue().path("instances")) {
                    String line = instance.path("end").asText().equals("under way")
                            ? "under way, " + instance.path("state").asText()
                                    + (instance.path("state").asText().equals("draining")
                                            ? " (" + instance.path("why").asText() + ")"
                                            : "")
                            : instance.path("end").asText();
                    if (!line.equals(shown.put(instance.path("name").asText(), line))) {
                        out().println(instance.path("name").asText() + ": " + verb() + " " + line);
                    }
                }
                over &= entry.getValue().path("over").asBoolean();
            }
            out().flush();
            if (over || !wait || System.nanoTime() > end) {
                if (wait && !over) {
                    err().println("not over after " + timeout + " s; it goes on. Look again with --id " + base);
                }
                boolean done = true;
                for (JsonNode order : orders.values()) {
                    for (JsonNode instance : order.path("instances")) {
                        done &= instance.path("end").asText().equals("done")
                                || (!wait && instance.path("end").asText().equals("under way"));
                    }
                }
                return done;
            }
            Thread.sleep(200);
            orders.replaceAll((client, order) -> {
                AgentClient.AgentResponse answer = client.get("/orders/" + base);
                return answer.status() == 200 ? answer.body() : order;
            });
        }
    }

    /** Wanted. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Start instances. With --wait until they serve.")
    static final class StartCommand extends OrderCommand {
        @Override
        String verb() {
            return "start";
        }
    }

    /** Not wanted any more, in good order. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Tell instances to leave: they answer what they have read, then end.")
    static final class DrainCommand extends OrderCommand {
        @Override
        String verb() {
            return "drain";
        }
    }

    /** Not wanted any more. */
    @Command(
            name = "stop",
            mixinStandardHelpOptions = true,
            description = "Stop instances. One that still answers what it has read is waited for, but with --now.")
    static final class StopCommand extends OrderCommand {
        @Option(names = "--now", description = "end them at once; says how many operations are lost by it and asks")
        private boolean now;

        @Option(names = "--yes", description = "with --now: do not ask")
        private boolean yes;

        @Override
        String verb() {
            return "stop";
        }

        @Override
        boolean now() {
            return now;
        }

        @Override
        boolean agreed(List<JsonNode> chosen) {
            if (!now) {
                return true;
            }
            int lost = chosen.stream()
                    .mapToInt(instance -> instance.path("told").path("inHand").asInt())
                    .sum();
            long unknown = chosen.stream()
                    .filter(instance -> instance.path("told").isNull()
                            && instance.path("pid").asLong() != 0)
                    .count();
            out().println(lost + " operations are in hand and would be lost"
                    + (unknown == 0 ? "" : "; of " + unknown + " instances it is not known"));
            out().flush();
            if (yes) {
                return true;
            }
            if (System.console() == null) {
                err().println("nobody can be asked here; say --yes");
                return false;
            }
            return "yes".equals(System.console().readLine("Stop them at once? Type yes: "));
        }
    }

    /** Out and in again. */
    @Command(
            name = "restart",
            mixinStandardHelpOptions = true,
            description = "Drain instances and start them again. With --wait until they serve.")
    static final class RestartCommand extends OrderCommand {
        @Override
        String verb() {
            return "restart";
        }
    }
}
