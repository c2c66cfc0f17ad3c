package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Collectors;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** A command that sends one order to the agents of the selected instances and optionally waits for its completion. */
abstract class OrderCommand extends FleetSubcommand {

    private static final Duration POLL_PERIOD = Duration.ofMillis(200);
    private static final int DEFAULT_TIMEOUT_SECONDS = 120;
    private static final String IN_PROGRESS = OrderTracker.OrderProgress.UNDER_WAY.wireName();
    private static final String DONE = OrderTracker.OrderProgress.DONE.wireName();
    private static final String DRAINING = InstanceSupervisor.InstanceState.DRAINING.wireName();

    @Mixin
    private InstanceFilter filter;

    @Option(names = "--wait", description = "wait until the order has completed or failed")
    private boolean wait;

    @Option(names = "--timeout", paramLabel = "SECONDS", description = "timeout of --wait (default: 120)")
    private int timeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

    @Option(names = "--dry-run", description = "show the selected instances and change nothing")
    private boolean dryRun;

    @Option(
            names = "--id",
            paramLabel = "ID",
            description = "id of the order; an order with an id that was already used is not executed again")
    private String givenId;

    /** The last reported state of the order at each agent. */
    private final Map<AgentClient, JsonNode> orders = new LinkedHashMap<>();

    private final Map<String, String> printedProgress = new LinkedHashMap<>();

    private final OrderTracker.OrderVerb verb;

    OrderCommand(OrderTracker.OrderVerb verb) {
        this.verb = verb;
    }

    /** Returns whether the instances are stopped without a drain. */
    boolean isImmediate() {
        return false;
    }

    /** Returns whether the operator confirms the order; called before any order is sent. */
    boolean isConfirmed(List<ReportedInstance> selected) {
        return true;
    }

    @Override
    public final Integer call() throws InterruptedException {
        if (!filter.isGiven()) {
            throw new CommandLine.ParameterException(
                    spec().commandLine(), "no instances selected: give names, --host, --label, --state or --all");
        }
        List<AgentClient> clients = clients();
        FleetSnapshot fleet = FleetSnapshot.read(clients);
        List<ReportedInstance> selected = fleet.matching(filter);
        List<String> problems = new ArrayList<>(fleet.problems());
        addUnknownNames(selected, problems);
        if (!problems.isEmpty()) {
            // Sends no order at all if a part of the order cannot be executed.
            report(problems);
            err().println("no order was sent");
            return 1;
        }
        if (selected.isEmpty()) {
            err().println("no instance matches; no order was sent");
            return 1;
        }
        if (dryRun) {
            selected.forEach(instance ->
                    out().println("would " + verb.wireName() + " " + instance.name() + " (" + instance.state() + ")"));
            out().flush();
            return 0;
        }
        if (!isConfirmed(selected)) {
            err().println("no order was sent");
            return 1;
        }
        String id = givenId == null ? UUID.randomUUID().toString() : givenId;
        boolean isAccepted = sendToAgents(clients.get(0), selected, id);
        return follow(id) && isAccepted ? 0 : 1;
    }

    private void addUnknownNames(List<ReportedInstance> selected, List<String> problems) {
        for (String name : filter.names()) {
            if (selected.stream().noneMatch(instance -> instance.name().equals(name))) {
                String hint = problems.isEmpty() ? "" : " to the agents that responded";
                problems.add("no instance " + name + " is known" + hint);
            }
        }
    }

    /** Sends the order to all agents involved; returns whether every agent accepted the order. */
    private boolean sendToAgents(AgentClient anyClient, List<ReportedInstance> selected, String id) {
        Map<String, List<ReportedInstance>> instancesByAgent = selected.stream()
                .collect(Collectors.groupingBy(ReportedInstance::agent, LinkedHashMap::new, Collectors.toList()));
        boolean isAccepted = true;
        for (Map.Entry<String, List<ReportedInstance>> entry : instancesByAgent.entrySet()) {
            AgentClient client = anyClient.forAgent(entry.getKey());
            List<String> names =
                    entry.getValue().stream().map(ReportedInstance::name).toList();
            AgentClient.AgentResponse response = client.order(new AgentOrder(id, verb, isImmediate(), names));
            if (response.isOk()) {
                orders.put(client, response.body());
                continue;
            }
            isAccepted = false;
            String hint = response.hasResponse()
                    ? ""
                    : "; the agent may have accepted the order, repeat the command with --id " + id;
            err().println("agent " + client.address() + ": " + response.failure() + hint);
        }
        return isAccepted;
    }

    /**
     * Prints the progress until the order is over, or once without --wait, or until the timeout; returns whether the
     * order has succeeded so far.
     */
    private boolean follow(String id) throws InterruptedException {
        long deadline = System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
        while (true) {
            boolean isOver = orders.values().stream()
                    .allMatch(order -> order.path("over").asBoolean());
            orders.values().forEach(this::printProgress);
            out().flush();
            if (isOver || !wait || System.nanoTime() > deadline) {
                if (wait && !isOver) {
                    err().println("the order is not over after " + timeoutSeconds
                            + " s and continues; repeat the command with --id " + id);
                }
                return orders.values().stream().allMatch(this::isDone);
            }
            Thread.sleep(POLL_PERIOD.toMillis());
            orders.replaceAll((client, order) -> {
                AgentClient.AgentResponse response = client.get("/orders/" + id);
                return response.isOk() ? response.body() : order;
            });
        }
    }

    private void printProgress(JsonNode order) {
        for (JsonNode instance : order.path("instances")) {
            String name = instance.path("name").asText();
            String progress = progress(instance);
            if (!progress.equals(printedProgress.put(name, progress))) {
                out().println(name + ": " + verb.wireName() + " " + progress);
            }
        }
    }

    private static String progress(JsonNode instance) {
        String end = instance.path("end").asText();
        if (!end.equals(IN_PROGRESS)) {
            return end;
        }
        String state = instance.path("state").asText();
        String reason = state.equals(DRAINING) ? " (" + instance.path("why").asText() + ")" : "";
        return IN_PROGRESS + ", " + state + reason;
    }

    private boolean isDone(JsonNode order) {
        for (JsonNode instance : order.path("instances")) {
            String end = instance.path("end").asText();
            if (!end.equals(DONE) && (wait || !end.equals(IN_PROGRESS))) {
                return false;
            }
        }
        return true;
    }

    /** {@code fleet start}. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Start instances; with --wait, wait until they serve.")
    static final class StartCommand extends OrderCommand {
        StartCommand() {
            super(OrderTracker.OrderVerb.START);
        }
    }

    /** {@code fleet drain}. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Drain instances: they finish the requests in flight, then exit.")
    static final class DrainCommand extends OrderCommand {
        DrainCommand() {
            super(OrderTracker.OrderVerb.DRAIN);
        }
    }

    /** {@code fleet restart}. */
    @Command(
            name = "restart",
            mixinStandardHelpOptions = true,
            description = "Drain instances and start them again; with --wait, wait until they serve.")
    static final class RestartCommand extends OrderCommand {
        RestartCommand() {
            super(OrderTracker.OrderVerb.RESTART);
        }
    }
}
