package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The instances of a fleet as its agents report them at one moment.
 *
 * @param instances each once, by its youngest report
 * @param problems one line for each agent that does not answer or whose instances are not known
 */
record FleetSnapshot(List<ReportedInstance> instances, List<String> problems) {

    /** Asks all agents, one after the other. */
    static FleetSnapshot read(List<AgentClient> clients) {
        Collector collector = new Collector();
        clients.forEach(collector::add);
        return collector.snapshot();
    }

    /** The instances that the filter selects. */
    List<ReportedInstance> matching(InstanceFilter filter) {
        return instances.stream().filter(filter::matches).toList();
    }

    /** Merges the answers of several agents, of which each also passes on what it knows of the others. */
    private static final class Collector {
        private final Map<String, ReportedInstance> youngestReport = new LinkedHashMap<>();
        private final Map<String, Long> reportAgeMillis = new LinkedHashMap<>();
        private final Map<String, String> unknownHosts = new LinkedHashMap<>();
        private final List<String> problems = new ArrayList<>();

        void add(AgentClient client) {
            AgentClient.AgentResponse response = client.get("/fleet");
            if (!response.isOk()) {
                problems.add("agent " + client.address() + ": " + response.failure());
                return;
            }
            for (JsonNode agent : response.body().path("agents")) {
                addAgent(agent);
            }
        }

        private void addAgent(JsonNode agent) {
            String host = agent.path("host").asText();
            if (!agent.path("report_ms_ago").isNumber()) {
                if (!agent.path("status").asText().equals("left")) {
                    unknownHosts.putIfAbsent(
                            host,
                            "agent " + host + " at " + agent.path("api").asText() + " is "
                                    + agent.path("status").asText() + " and has not told of its instances");
                }
                return;
            }
            long ageMillis = agent.path("report_ms_ago").asLong();
            for (JsonNode instance : agent.path("instances")) {
                String key = host + " " + instance.path("name").asText();
                if (ageMillis < reportAgeMillis.getOrDefault(key, Long.MAX_VALUE)) {
                    reportAgeMillis.put(key, ageMillis);
                    ObjectNode withAgent = ((ObjectNode) instance)
                            .put("agent", agent.path("api").asText());
                    youngestReport.put(key, new ReportedInstance(withAgent));
                }
            }
            // Known now, whatever another agent said or will say.
            unknownHosts.put(host, "");
        }

        FleetSnapshot snapshot() {
            unknownHosts.values().stream().filter(line -> !line.isEmpty()).forEach(problems::add);
            return new FleetSnapshot(List.copyOf(youngestReport.values()), List.copyOf(problems));
        }
    }
}
