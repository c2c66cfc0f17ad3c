package merlinlever.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What else rides on membership's datagrams, and who hears it. */
final class MessageDispatcher {

    private final Map<String, SwimProtocol.TextMessageHandler> textHandlers = new TreeMap<>();
    private final List<SwimProtocol.PayloadHandler> payloadHandlers = new ArrayList<>();

    void addTextHandler(Set<String> words, SwimProtocol.TextMessageHandler who) {
        for (String word : words) {
            if (textHandlers.put(word, who) != null) {
                throw new IllegalStateException("two hear " + word);
            }
        }
    }

    void addPayloadHandler(SwimProtocol.PayloadHandler who) {
        payloadHandlers.add(who);
    }

    void dispatch(SwimProtocol.MembershipMessage message) {
        if (message.kind() == SwimProtocol.MessageKind.PAYLOAD) {
            payloadHandlers.forEach(carrier -> carrier.onPayload(message.sender(), message.payload()));
            return;
        }
        int end = message.text().indexOf('/');
        SwimProtocol.TextMessageHandler hearer =
                textHandlers.get(end < 0 ? message.text() : message.text().substring(0, end));
        if (hearer != null) {
            hearer.onText(message.sender(), message.correlationId(), message.text());
        }
    }
}
