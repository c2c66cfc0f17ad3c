package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The instances of a fleet as reported by its agents at one time.
 *
 * @param instances one entry per instance, from its most recent report
 * @param problems one line for each agent that did not respond or whose instances are unknown
 */
record FleetSnapshot(List<ReportedInstance> instances, List<String> problems) {

    /** Queries all agents sequentially. */
    static FleetSnapshot read(List<AgentClient> clients) {
        Collector collector = new Collector();
        clients.forEach(collector::add);
        return collector.snapshot();
    }

    /** Returns the instances that match the filter. */
    List<ReportedInstance> matching(InstanceFilter filter) {
        return instances.stream().filter(filter::matches).toList();
    }

    /** Merges the responses of several agents; each response also contains reports of other agents. */
    private static final class Collector {
        private final Map<String, ReportedInstance> latestReports = new LinkedHashMap<>();
        private final Map<String, Long> latestReportAges = new LinkedHashMap<>();
        /** Why the instances of a host are unknown; empty once they are known. */
        private final Map<String, String> hostProblems = new LinkedHashMap<>();

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
                    hostProblems.putIfAbsent(
                            host,
                            "agent " + host + " at " + agent.path("api").asText() + " is "
                                    + agent.path("status").asText() + " and has not reported its instances");
                }
                return;
            }
            long ageMillis = agent.path("report_ms_ago").asLong();
            for (JsonNode instance : agent.path("instances")) {
                String key = host + " " + instance.path("name").asText();
                if (ageMillis < latestReportAges.getOrDefault(key, Long.MAX_VALUE)) {
                    latestReportAges.put(key, ageMillis);
                    ObjectNode withAgent = ((ObjectNode) instance)
                            .put("agent", agent.path("api").asText());
                    latestReports.put(key, new ReportedInstance(withAgent));
                }
            }
            // The instances are known now; discards the reports by other agents that they are unknown.
            hostProblems.put(host, "");
        }

        FleetSnapshot snapshot() {
            hostProblems.values().stream().filter(line -> !line.isEmpty()).forEach(problems::add);
            return new FleetSnapshot(List.copyOf(latestReports.values()), List.copyOf(problems));
        }
    }
}
