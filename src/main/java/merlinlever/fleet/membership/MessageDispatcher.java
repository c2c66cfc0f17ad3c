package merlinlever.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Hands messages of other protocols, which travel on membership's datagrams, to their handlers. Not thread-safe. */
final class MessageDispatcher {

    private final Map<String, TextMessageHandler> textHandlers = new TreeMap<>();
    private final List<PayloadHandler> payloadHandlers = new ArrayList<>();

    /**
     * From here on texts of these types go to the handler.
     *
     * @throws IllegalStateException if one of the types has a handler already
     */
    void addTextHandler(Set<String> messageTypes, TextMessageHandler handler) {
        for (String type : messageTypes) {
            if (textHandlers.put(type, handler) != null) {
                throw new IllegalStateException("two handlers for texts of type " + type);
            }
        }
    }

    void addPayloadHandler(PayloadHandler handler) {
        payloadHandlers.add(handler);
    }

    /** A text goes to the handler of its type, the part before the first slash; one without a handler is dropped. */
    void dispatchText(String sender, long correlationId, String text) {
        int slash = text.indexOf('/');
        String type = slash < 0 ? text : text.substring(0, slash);
        TextMessageHandler handler = textHandlers.get(type);
        if (handler != null) {
            handler.onText(sender, correlationId, text);
        }
    }

    /** A payload goes to every handler. */
    void dispatchPayload(String sender, byte[] payload) {
        payloadHandlers.forEach(handler -> handler.onPayload(sender, payload));
    }
}
