package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** What the commands under {@code fleet} that ask agents have in common: their options and how they print instances. */
abstract class FleetSubcommand implements Callable<Integer> {

    static final ObjectMapper JSON = new ObjectMapper();
    private static final int VIEW_DIGEST_DIGITS = 6;
    private static final double MILLIS_PER_SECOND = Duration.ofSeconds(1).toMillis();
    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();
    /** Longer times are printed in minutes. */
    private static final double MAX_PRINTED_SECONDS = 100;

    @Spec
    private CommandSpec spec;

    @Mixin
    private AgentOptions agentOptions;

    final CommandSpec spec() {
        return spec;
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    final PrintWriter err() {
        return spec.commandLine().getErr();
    }

    final List<AgentClient> clients() {
        return agentOptions.clients(spec);
    }

    final boolean printsJson() {
        return agentOptions.format() == OutputFormat.json;
    }

    /** Prints the instances in the form that the command line asks for. */
    final void print(List<ReportedInstance> instances) {
        if (printsJson()) {
            ArrayNode array = JSON.createArrayNode();
            instances.forEach(instance -> array.add(instance.json()));
            out().println(array.toPrettyString());
            return;
        }
        TextTable table = new TextTable("NAME", "HOST", "STATE", "HEARD", "AGE", "PID", "HELD", "RUN", "VIEW", "ABOUT");
        for (ReportedInstance instance : instances) {
            JsonNode status = instance.status();
            table.addRow(
                    instance.name(),
                    instance.host(),
                    instance.state(),
                    elapsed(instance.millisSinceReport()),
                    elapsed(instance.ageMillis()),
                    instance.processId() == 0 ? "-" : Long.toString(instance.processId()),
                    status.path("held").asText("-"),
                    status.path("running").asText("-"),
                    viewSummary(status.path("view")),
                    instance.reason());
        }
        table.print(out());
    }

    /** Its quorum status and which view it has, by the first digits of the digest: a diverging one stands out in the column. */
    static String viewSummary(JsonNode view) {
        if (!view.isObject()) {
            return "-";
        }
        String digest = view.path("digest").asText();
        return view.path("standing").asText() + " " + view.path("number").asText() + "/"
                + digest.substring(0, Math.min(VIEW_DIGEST_DIGITS, digest.length()));
    }

    static double seconds(long millis) {
        return millis / MILLIS_PER_SECOND;
    }

    /** A time in milliseconds for people, a dash where there is none. */
    static String elapsed(JsonNode millis) {
        if (!millis.isNumber()) {
            return "-";
        }
        double seconds = seconds(millis.asLong());
        return seconds < MAX_PRINTED_SECONDS
                ? String.format(Locale.ROOT, "%.1fs", seconds)
                : String.format(Locale.ROOT, "%dm", (long) seconds / SECONDS_PER_MINUTE);
    }

    /** Prints the problems to standard error and returns the exit status: 0 where there are none, else 1. */
    final int report(List<String> problems) {
        problems.forEach(err()::println);
        err().flush();
        return problems.isEmpty() ? 0 : 1;
    }
}
