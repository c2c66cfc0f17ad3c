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

/** Base class of the {@code fleet} commands that query agents, with their common options and output of instances. */
abstract class FleetSubcommand implements Callable<Integer> {

    static final ObjectMapper JSON = new ObjectMapper();
    private static final int VIEW_DIGEST_DIGITS = 6;
    private static final double MILLIS_PER_SECOND = Duration.ofSeconds(1).toMillis();
    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();
    /** Longer durations are printed in minutes. */
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

    /** Prints the instances in the selected output format. */
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

    /**
     * Returns the quorum status, the view number and the first digits of the view digest, which show a diverging view.
     */
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

    /** Formats a duration in milliseconds for display; returns a dash if there is no duration. */
    static String elapsed(JsonNode millis) {
        if (!millis.isNumber()) {
            return "-";
        }
        double seconds = seconds(millis.asLong());
        return seconds < MAX_PRINTED_SECONDS
                ? String.format(Locale.ROOT, "%.1fs", seconds)
                : String.format(Locale.ROOT, "%dm", (long) seconds / SECONDS_PER_MINUTE);
    }

    /** Prints the problems to standard error and returns the exit status: 0 without problems, otherwise 1. */
    final int report(List<String> problems) {
        problems.forEach(err()::println);
        err().flush();
        return problems.isEmpty() ? 0 : 1;
    }
}
