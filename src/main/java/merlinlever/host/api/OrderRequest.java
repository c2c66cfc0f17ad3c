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
 * Order as received by the agent.
 *
 * @param id identifier of the order; the agent applies each order once per id
 * @param immediate whether a drain or stop order kills the instances instead of draining them
 * @param instances distinct indexes of the instances that the order applies to
 */
record OrderRequest(String id, OrderTracker.OrderVerb verb, boolean immediate, List<Integer> instances) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Parses the body of a request.
     *
     * @param instanceNames names of the instances of the agent, in the order of their indexes
     * @throws IllegalArgumentException if the body is not a valid order for this agent; the message is for the operator
     */
    static OrderRequest parse(String body, List<String> instanceNames) {
        JsonNode node = parseJson(body);
        String id = node.path("id").asText();
        OrderTracker.OrderVerb verb =
                WireNamed.parse(OrderTracker.OrderVerb.class, node.path("verb").asText());
        if (!id.matches("[0-9a-zA-Z-]{8,64}")) {
            throw new IllegalArgumentException("the id of an order must consist of 8 to 64 letters, digits or hyphens");
        }
        Set<Integer> indexes = new LinkedHashSet<>();
        for (JsonNode name : node.path("names")) {
            int index = instanceNames.indexOf(name.asText());
            if (index < 0) {
                throw new IllegalArgumentException("no instance " + name.asText() + " on this agent");
            }
            indexes.add(index);
        }
        return new OrderRequest(id, verb, node.path("now").asBoolean(), List.copyOf(indexes));
    }

    private static JsonNode parseJson(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the request body is not valid JSON", e);
        }
    }
}
