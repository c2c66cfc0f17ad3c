package merlinlever.host.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.InstanceSpec;
import merlinlever.host.run.PeerAgents;
import merlinlever.host.state.InstanceStatus;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;

/** Renders the JSON documents of the agent API. */
final class ReportRenderer {

    /** Instances in an older report of another agent are reported as unreachable. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(2500);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String host;
    private final HostAgent agent;
    private final Optional<RecoveryCoordinator> recovery;
    private final Supplier<Duration> clock;

    /** @param clock returns the current time of the agent clock */
    ReportRenderer(String host, HostAgent agent, Optional<RecoveryCoordinator> recovery, Supplier<Duration> clock) {
        this.host = host;
        this.agent = agent;
        this.recovery = recovery;
        this.clock = clock;
    }

    /** Returns the report on the instances of this agent. */
    ObjectNode instances() {
        ObjectNode report = JSON.createObjectNode().put("host", host);
        ArrayNode instances = report.putArray("instances");
        for (int i = 0; i < agent.specs().size(); i++) {
            instances.add(instance(i));
        }
        recovery.ifPresent(coordinator -> report.putRawValue("recovery", new RawValue(coordinator.statusJson())));
        return report;
    }

    private ObjectNode instance(int index) {
        InstanceSpec spec = agent.specs().get(index);
        InstanceSupervisor supervisor = agent.supervisor(index);
        Duration now = clock.get();
        ObjectNode node = JSON.createObjectNode()
                .put("name", spec.name())
                .put("host", host)
                .put("kind", spec.kind())
                .put("state", supervisor.state(now).wireName())
                .put("why", supervisor.reason(now))
                .put("wanted", supervisor.isDesired())
                .put("pid", agent.pid(index))
                .put("launches", supervisor.launches());
        node.set("labels", JSON.valueToTree(spec.labels()));
        node.put("heard_ms_ago", millis(supervisor.statusAge(now)));
        node.put("age_ms", millis(supervisor.processAge(now)));
        node.set(
                "told", supervisor.lastStatus().<JsonNode>map(JSON::valueToTree).orElse(JSON.nullNode()));
        return node;
    }

    /** Returns null, rendered as JSON null, for an empty duration. */
    private static Long millis(Optional<Duration> duration) {
        return duration.map(Duration::toMillis).orElse(null);
    }

    /**
     * Returns the last reports of all known agents, starting with this agent.
     *
     * @param apiAddress API address of this agent
     */
    ObjectNode fleet(String apiAddress, List<PeerAgents.PeerAgent> peers) {
        ObjectNode report = JSON.createObjectNode();
        ArrayNode agents = report.putArray("agents");
        agents.add(instances().put("api", apiAddress).put("status", "alive").put("report_ms_ago", 0));
        peers.forEach(peer -> agents.add(peer(peer)));
        return report;
    }

    private static ObjectNode peer(PeerAgents.PeerAgent peer) {
        ObjectNode node = JSON.createObjectNode()
                .put("host", peer.member().name())
                .put("api", peer.member().apiAddress())
                .put("status", peer.member().status().wireName())
                .put("status_ms", peer.timeSinceStatusChange().toMillis());
        peer.report().ifPresent(report -> {
            node.put("report_ms_ago", report.age().toMillis());
            ArrayNode instances = node.putArray("instances");
            for (JsonNode instance : report.body().path("instances")) {
                instances.add(aged(instance.deepCopy(), peer, report.age()));
            }
        });
        return node;
    }

    /** Adds the age of the report to the instance, and marks the instance as unreachable if the report is too old. */
    private static ObjectNode aged(ObjectNode instance, PeerAgents.PeerAgent peer, Duration age) {
        long ageMillis = age.toMillis();
        if (instance.path("heard_ms_ago").isNumber()) {
            instance.put("heard_ms_ago", instance.path("heard_ms_ago").asLong() + ageMillis);
        }
        if (ageMillis > MAX_REPORT_AGE.toMillis()) {
            instance.put(
                    "why",
                    "agent " + peer.member().name() + " ("
                            + peer.member().status().wireName() + ") has sent no report for " + ageMillis
                            + " ms (last reported state: "
                            + instance.path("state").asText() + ")");
            instance.put("state", InstanceSupervisor.InstanceState.UNREACHABLE.wireName());
        }
        return instance;
    }

    /** Returns the instance events after the event with the given number. */
    ObjectNode events(long after) {
        ObjectNode report = JSON.createObjectNode()
                .put("host", host)
                .put("now_ms", clock.get().toMillis());
        ArrayNode events = report.putArray("events");
        agent.eventsAfter(after).forEach(event -> events.addObject()
                .put("number", event.number())
                .put("at_ms", event.at().toMillis())
                .put("instance", event.instance())
                .put("what", event.text()));
        return report;
    }

    /** Returns an order with its progress. */
    ObjectNode order(OrderTracker.Order order) {
        ObjectNode report = JSON.createObjectNode()
                .put("id", order.id())
                .put("verb", order.verb().wireName())
                .put("over", order.isFinished());
        ArrayNode instances = report.putArray("instances");
        for (int i = 0; i < order.instances().size(); i++) {
            int index = order.instances().get(i);
            InstanceSupervisor supervisor = agent.supervisor(index);
            instances
                    .addObject()
                    .put("name", agent.specs().get(index).name())
                    .put("end", order.progress(i).wireName())
                    .put("state", supervisor.state(clock.get()).wireName())
                    .put("why", supervisor.reason(clock.get()))
                    .put(
                            "in_hand",
                            supervisor
                                    .lastStatus()
                                    .map(InstanceStatus::inFlight)
                                    .orElse(0));
        }
        return report;
    }
}
