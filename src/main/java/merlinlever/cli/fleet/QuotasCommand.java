package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;

/** {@code fleet budgets}: shows each backend's share of the fleet quotas, and the totals. */
@Command(
        name = "budgets",
        mixinStandardHelpOptions = true,
        description = "Show each backend's part of the fleet quotas, its age, and the total.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {"0:all agents responded", "1:at least one agent did not respond", "2:wrong usage"})
final class QuotasCommand extends FleetSubcommand {

    /** The sum of the shares of one quota. */
    private static final class QuotaSum {
        private long shares;
        private long quota;
        private int holders;

        void add(JsonNode share) {
            shares += share.path("share").asLong();
            quota = Math.max(quota, share.path("whole").asLong());
            holders++;
        }

        @Override
        public String toString() {
            return shares + " of " + quota + " held by " + holders;
        }
    }

    @Override
    public Integer call() {
        FleetSnapshot fleet = FleetSnapshot.read(clients());
        if (printsJson()) {
            printJson(fleet.instances());
        } else {
            printTable(fleet.instances());
        }
        out().flush();
        return report(fleet.problems());
    }

    private void printJson(List<ReportedInstance> instances) {
        ArrayNode array = JSON.createArrayNode();
        for (ReportedInstance instance : instances) {
            for (JsonNode share : instance.status().path("shares")) {
                array.add(((ObjectNode) share.deepCopy())
                        .put("instance", instance.name())
                        .put("host", instance.host())
                        .put("heard_ms_ago", instance.millisSinceReport().asLong()));
            }
        }
        out().println(array.toPrettyString());
    }

    private void printTable(List<ReportedInstance> instances) {
        TextTable table = new TextTable("BUDGET", "NAME", "HOST", "SHARE", "IN USE", "LEFT", "HEARD", "DIVIDED BY");
        Map<String, QuotaSum> sums = new TreeMap<>();
        for (ReportedInstance instance : instances) {
            for (JsonNode share : instance.status().path("shares")) {
                String quota = share.path("name").asText();
                table.addRow(
                        quota,
                        instance.name(),
                        instance.host(),
                        share.path("share").asText(),
                        share.path("inUse").asText(),
                        elapsed(share.path("leftMs")),
                        elapsed(instance.millisSinceReport()),
                        leader(share));
                sums.computeIfAbsent(quota, unused -> new QuotaSum()).add(share);
            }
        }
        table.print(out());
        // The agents are queried sequentially: a share transferred meanwhile is counted twice or not at all.
        sums.forEach((quota, sum) -> out().println(quota + ": " + sum));
    }

    private static String leader(JsonNode share) {
        String leader = share.path("leader").asText();
        return leader.isEmpty()
                ? "nobody"
                : leader + ", term " + share.path("term").asText();
    }
}
