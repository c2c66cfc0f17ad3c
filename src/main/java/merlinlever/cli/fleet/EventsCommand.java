package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;

/** {@code fleet events}: shows the recent events of the instances from the event history of the agents. */
@Command(
        name = "events",
        mixinStandardHelpOptions = true,
        description = "Show recent events of the instances, oldest first.")
final class EventsCommand extends FleetSubcommand {

    private final TextTable table = new TextTable("AGO", "HOST", "INSTANCE", "WHAT");
    private final ArrayNode events = JSON.createArrayNode();
    private final List<String> problems = new ArrayList<>();

    @Override
    public Integer call() {
        clients().forEach(this::addEvents);
        if (printsJson()) {
            out().println(events.toPrettyString());
        } else {
            table.print(out());
        }
        return report(problems);
    }

    private void addEvents(AgentClient client) {
        AgentClient.AgentResponse response = client.get("/events");
        if (!response.isOk()) {
            problems.add("agent " + client.address() + ": " + response.failure());
            return;
        }
        JsonNode body = response.body();
        String host = body.path("host").asText();
        for (JsonNode event : body.path("events")) {
            double secondsAgo =
                    seconds(body.path("now_ms").asLong() - event.path("at_ms").asLong());
            table.addRow(
                    String.format(Locale.ROOT, "%.1fs", secondsAgo),
                    host,
                    event.path("instance").asText(),
                    event.path("what").asText());
            events.add(((ObjectNode) event).put("host", host));
        }
    }
}
