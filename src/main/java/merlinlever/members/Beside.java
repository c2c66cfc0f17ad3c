package merlinlever.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What else rides on membership's datagrams, and who hears it. */
final class Beside {

    private final Map<String, Members.Hearer> hearers = new TreeMap<>();
    private final List<Members.Carried> carriers = new ArrayList<>();

    void hears(Set<String> words, Members.Hearer who) {
        for (String word : words) {
            if (hearers.put(word, who) != null) {
                throw new IllegalStateException("two hear " + word);
            }
        }
    }

    void takes(Members.Carried who) {
        carriers.add(who);
    }

    void came(Members.Message message) {
        if (message.kind() == Members.Kind.CARRY) {
            carriers.forEach(carrier -> carrier.carried(message.from(), message.body()));
            return;
        }
        int end = message.about().indexOf('/');
        Members.Hearer hearer =
                hearers.get(end < 0 ? message.about() : message.about().substring(0, end));
        if (hearer != null) {
            hearer.said(message.from(), message.number(), message.about());
        }
    }
}
