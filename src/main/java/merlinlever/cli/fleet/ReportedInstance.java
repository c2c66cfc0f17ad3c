package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The report of an agent about one instance.
 *
 * @param json entry of the agents' response to {@code GET /fleet}, with the address of the agent added as {@code agent}
 */
record ReportedInstance(JsonNode json) {

    String name() {
        return json.path("name").asText();
    }

    /** Returns the name of the machine. */
    String host() {
        return json.path("host").asText();
    }

    /** Returns the external name of the instance's state. */
    String state() {
        return json.path("state").asText();
    }

    /** Returns the address of the agent that supervises the instance. */
    String agent() {
        return json.path("agent").asText();
    }

    /** Returns a human-readable reason for the state. */
    String reason() {
        return json.path("why").asText();
    }

    /** Returns the value of a label, or null if the instance has no label with the key. */
    String label(String key) {
        return json.path("labels").path(key).asText(null);
    }

    /** Returns the last status report by the instance itself, or a JSON null without a report. */
    JsonNode status() {
        return json.path("told");
    }

    JsonNode millisSinceReport() {
        return json.path("heard_ms_ago");
    }

    JsonNode ageMillis() {
        return json.path("age_ms");
    }

    /** Returns the process id, or 0 if no process is known. */
    long processId() {
        return json.path("pid").asLong();
    }

    /** Returns how often the agent has launched the instance. */
    long launches() {
        return json.path("launches").asLong();
    }
}
