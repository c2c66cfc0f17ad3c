package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import merlinlever.host.state.OrderTracker;

/**
 * An order to the agent of some instances.
 *
 * @param id under which the agent carries it out once, however often it is sent
 * @param immediate whether instances that are to end are killed in place of drained
 * @param instances by name
 */
record AgentOrder(String id, OrderTracker.OrderVerb verb, boolean immediate, List<String> instances) {

    /** The order as the agent's API expects it. */
    ObjectNode json() {
        ObjectNode order = JsonNodeFactory.instance
                .objectNode()
                .put("id", id)
                .put("verb", verb.wireName())
                .put("now", immediate);
        instances.forEach(order.putArray("names")::add);
        return order;
    }
}
