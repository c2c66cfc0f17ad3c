package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What an agent reports of one instance.
 *
 * @param json as in the agents' answer to {@code GET /fleet}, with the address of the agent added as {@code agent}
 */
record ReportedInstance(JsonNode json) {

    String name() {
        return json.path("name").asText();
    }

    /** The name of its machine. */
    String host() {
        return json.path("host").asText();
    }

    /** The external name of its state. */
    String state() {
        return json.path("state").asText();
    }

    /** The address of the agent that keeps it. */
    String agent() {
        return json.path("agent").asText();
    }

    /** Why it is in its state, for people. */
    String reason() {
        return json.path("why").asText();
    }

    /** The value of a label; null where it has none of that key. */
    String label(String key) {
        return json.path("labels").path(key).asText(null);
    }

    /** Its own last status report; a JSON null where it sent none. */
    JsonNode status() {
        return json.path("told");
    }

    JsonNode millisSinceReport() {
        return json.path("heard_ms_ago");
    }

    JsonNode ageMillis() {
        return json.path("age_ms");
    }

    /** 0 where no process is known. */
    long processId() {
        return json.path("pid").asLong();
    }

    /** How often its agent has launched it. */
    long launches() {
        return json.path("launches").asLong();
    }
}
