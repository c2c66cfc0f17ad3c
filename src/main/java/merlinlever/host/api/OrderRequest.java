package merlinlever.host.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import merlinlever.common.WireNamed;
import merlinlever.host.state.OrderTracker;

/**
 * An order as it is sent to the agent.
 *
 * @param id under which the agent carries it out once
 * @param immediate whether instances that are to end are killed in place of drained
 * @param instances the indexes of the instances that it is for, each once
 */
record OrderRequest(String id, OrderTracker.OrderVerb verb, boolean immediate, List<Integer> instances) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Parses the body of a request.
     *
     * @param instanceNames the names of the agent's instances, in the order of their indexes
     * @throws IllegalArgumentException if it is not an order to this agent; the message is for the operator
     */
    static OrderRequest parse(String body, List<String> instanceNames) {
        JsonNode node = parseJson(body);
        String id = node.path("id").asText();
        OrderTracker.OrderVerb verb =
                WireNamed.parse(OrderTracker.OrderVerb.class, node.path("verb").asText());
        if (!id.matches("[0-9a-zA-Z-]{8,64}")) {
            throw new IllegalArgumentException("an order's id has 8 to 64 letters, digits or -");
        }
        Set<Integer> indexes = new LinkedHashSet<>();
        for (JsonNode name : node.path("names")) {
            int index = instanceNames.indexOf(name.asText());
            if (index < 0) {
                throw new IllegalArgumentException("no instance " + name.asText() + " here");
            }
            indexes.add(index);
        }
        return new OrderRequest(id, verb, node.path("now").asBoolean(), List.copyOf(indexes));
    }

    private static JsonNode parseJson(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON", e);
        }
    }
}
