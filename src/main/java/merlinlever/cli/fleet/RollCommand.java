package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import merlinlever.WireNamed;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.RollingRestart;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Restarts in batches, for as long as all goes well. */
@Command(
        name = "roll",
        mixinStandardHelpOptions = true,
        description =
                "Restart instances in batches: one machine at a time, never more than a part of the fleet away, on only when successors are warm "
                        + "and callers are not worse off. Interrupted or stopped, it says what was done and begins nothing more.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:all were restarted and serve", "1:it was stopped; the reason is told", "2:wrong usage"})
final class RollCommand extends FleetSubcommand {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Mixin
    private InstanceFilter which;

    @Option(names = "--batch", paramLabel = "N", description = "restarted at once at the most (default: 1)")
    private int batch = 1;

    @Option(
            names = "--most-away",
            paramLabel = "PERCENT",
            description = "of the instances seen that may be away at once, for whatever reason (default: 20)")
    private int mostAway = 20;

    @Option(
            names = "--warm-within",
            paramLabel = "SECONDS",
            description = "after its restart an instance has to be warm (default: 120)")
    private int warmWithin = 120;

    @Option(
            names = "--watch",
            paramLabel = "SECONDS",
            description = "callers are watched so long before the first batch and behind each (default: 5)")
    private int watch = 5;

    @Option(
            names = "--worse",
            paramLabel = "TIMES",
            description = "stop where so many times as many are turned away as before (default: 2)")
    private double worse = 2;

    @Option(names = "--dry-run", description = "show which instances it would be, in their order, and restart nothing")
    private boolean dryRun;

    private volatile RollingRestart roll;

    private static RollingRestart.InstanceObservation seen(JsonNode instance) {
        JsonNode told = instance.path("told");
        long turnedAway = told.path("brokenOff").asLong();
        for (JsonNode count : told.path("pushedBack")) {
            turnedAway += count.asLong();
        }
        return new RollingRestart.InstanceObservation(
                instance.path("name").asText(),
                instance.path("host").asText(),
                WireNamed.parse(
                        InstanceSupervisor.InstanceState.class,
                        instance.path("state").asText()),
                instance.path("launches").asLong(),
                turnedAway);
    }

    private void tellDone() {
        out().println(roll.done().size() + " done, " + roll.inHand().size() + " restarted and not serving yet"
                + (roll.inHand().isEmpty() ? "" : " (" + String.join(", ", roll.inHand()) + ")") + ", "
                + roll.todo().size() + " not begun");
        out().flush();
    }

    @Override
    public Integer call() throws InterruptedException {
        if (!which.any() || batch < 1 || mostAway < 0 || mostAway > 100 || warmWithin < 1 || watch < 0 || worse < 1) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    !which.any()
                            ? "Which instances? Give names, --host, --label, --state or --all."
                            : "--batch and --warm-within are 1 or more, --most-away 0 to 100, --watch 0 or more, --worse 1 or more");
        }
        List<AgentClient> clients = where.clients(spec);
        List<String> silent = new ArrayList<>();
        List<JsonNode> chosen = new ArrayList<>(
                instances(clients, silent).stream().filter(which::takes).toList());
        chosen.sort((a, b) -> (a.path("host").asText() + " " + a.path("name").asText())
                .compareTo(b.path("host").asText() + " " + b.path("name").asText()));
        if (!silent.isEmpty() || chosen.isEmpty()) {
            told(silent);
            err().println(chosen.isEmpty() ? "no instance fits; nothing was begun" : "nothing was begun");
            return 1;
        }
        if (dryRun) {
            chosen.forEach(instance -> out().println(
                            "would restart " + instance.path("name").asText() + " on "
                                    + instance.path("host").asText() + " ("
                                    + instance.path("state").asText() + ")"));
            out().flush();
            return 0;
        }
        roll = new RollingRestart(
                new RollingRestart.RollingRestartSettings(
                        batch, mostAway / 100.0, Duration.ofSeconds(warmWithin), Duration.ofSeconds(watch), worse),
                chosen.stream().map(instance -> instance.path("name").asText()).toList());
        Thread interrupted = new Thread(this::tellDone);
        Runtime.getRuntime().addShutdownHook(interrupted);
        long began = System.nanoTime();
        String shown = "";
        while (roll.phase() != RollingRestart.RolloutPhase.DONE
                && roll.phase() != RollingRestart.RolloutPhase.STOPPED) {
            List<JsonNode> fleet = instances(clients, new ArrayList<>());
            List<String> next = fleet.isEmpty()
                    ? List.of()
                    : roll.settle(
                            Duration.ofNanos(System.nanoTime() - began),
                            fleet.stream().map(RollCommand::seen).toList());
            if (!next.isEmpty()) {
                out().println("restarting " + String.join(", ", next) + "; "
                        + roll.done().size() + " of " + chosen.size() + " done");
                out().flush();
                if (!order(clients.get(0), fleet, next)) {
                    tellDone();
                    Runtime.getRuntime().removeShutdownHook(interrupted);
                    return 1;
                }
            } else if (!roll.why().equals(shown)) {
                shown = roll.why();
                out().println(shown.isEmpty() ? roll.done().size() + " of " + chosen.size() + " done" : shown);
                out().flush();
            }
            Thread.sleep(300);
        }
        Runtime.getRuntime().removeShutdownHook(interrupted);
        if (roll.phase() == RollingRestart.RolloutPhase.STOPPED) {
            err().println("stopped: " + roll.why());
            err().flush();
        }
        tellDone();
        return roll.phase() == RollingRestart.RolloutPhase.DONE ? 0 : 1;
    }

    private boolean order(AgentClient any, List<JsonNode> fleet, List<String> names) {
        // All of a batch are of one machine, and so of one agent.
        String agent = fleet.stream()
                .filter(each -> each.path("name").asText().equals(names.get(0)))
                .findFirst()
                .orElseThrow()
                .path("agent")
                .asText();
        ObjectNode order = JSON.createObjectNode()
                .put("id", UUID.randomUUID().toString())
                .put("verb", "restart")
                .put("now", false);
        names.forEach(order.putArray("names")::add);
        AgentClient.AgentResponse answer = any.at(agent).order(order);
        if (answer.status() != 200) {
            err().println("agent " + agent + ": " + answer.why() + "; stopped");
            err().flush();
        }
        return answer.status() == 200;
    }
}
