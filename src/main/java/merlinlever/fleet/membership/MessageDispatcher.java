package merlinlever.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Passes messages of other protocols, which are received in membership datagrams, to their handlers. Not thread-safe.
 */
final class MessageDispatcher {

    private final Map<String, TextMessageHandler> textHandlers = new TreeMap<>();
    private final List<PayloadHandler> payloadHandlers = new ArrayList<>();

    /**
     * Registers the handler for text messages of the given types.
     *
     * @throws IllegalStateException if one of the types already has a handler
     */
    void addTextHandler(Set<String> messageTypes, TextMessageHandler handler) {
        for (String type : messageTypes) {
            if (textHandlers.put(type, handler) != null) {
                throw new IllegalStateException("text message type already has a handler: " + type);
            }
        }
    }

    void addPayloadHandler(PayloadHandler handler) {
        payloadHandlers.add(handler);
    }

    /** Passes a text to the handler of its type, which precedes the first slash; a text of another type is dropped. */
    void dispatchText(String sender, long correlationId, String text) {
        int slash = text.indexOf('/');
        String type = slash < 0 ? text : text.substring(0, slash);
        TextMessageHandler handler = textHandlers.get(type);
        if (handler != null) {
            handler.onText(sender, correlationId, text);
        }
    }

    /** Passes a payload to every payload handler. */
    void dispatchPayload(String sender, byte[] payload) {
        payloadHandlers.forEach(handler -> handler.onPayload(sender, payload));
    }
}
