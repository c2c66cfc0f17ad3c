package merlinlever.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What else rides on membership's datagrams, and who hears it. */
final class MessageDispatcher {

    private final Map<String, SwimProtocol.TextMessageHandler> hearers = new TreeMap<>();
    private final List<SwimProtocol.PayloadHandler> carriers = new ArrayList<>();

    void hears(Set<String> words, SwimProtocol.TextMessageHandler who) {
        for (String word : words) {
            if (hearers.put(word, who) != null) {
                throw new IllegalStateException("two hear " + word);
            }
        }
    }

    void takes(SwimProtocol.PayloadHandler who) {
        carriers.add(who);
    }

    void came(SwimProtocol.MembershipMessage message) {
        if (message.kind() == SwimProtocol.MessageKind.CARRY) {
            carriers.forEach(carrier -> carrier.carried(message.from(), message.body()));
            return;
        }
        int end = message.about().indexOf('/');
        SwimProtocol.TextMessageHandler hearer =
                hearers.get(end < 0 ? message.about() : message.about().substring(0, end));
        if (hearer != null) {
            hearer.said(message.from(), message.number(), message.about());
        }
    }
}
