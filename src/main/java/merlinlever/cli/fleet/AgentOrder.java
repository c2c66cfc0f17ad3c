package merlinlever.cli.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import merlinlever.host.state.OrderTracker;

/**
 * An order to an agent for some of its instances.
 *
 * @param id identifier of the order; the agent executes an order only once, even if the order is sent repeatedly
 * @param immediate whether the agent kills the instances instead of draining them
 * @param instances names of the instances
 */
record AgentOrder(String id, OrderTracker.OrderVerb verb, boolean immediate, List<String> instances) {

    /** Returns the order as JSON for the agent's API. */
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
