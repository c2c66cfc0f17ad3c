package merlinlever.testing.faults.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** What a node believes, in words: what changed of it, and how several of one kind are said together. */
final class NodeStateFormatter {

    private NodeStateFormatter() {}

    /** By what each is about; what is empty is not said. */
    static List<String> changed(Map<String, String> before, Map<String, String> now) {
        List<String> changed = new ArrayList<>();
        now.forEach((about, what) -> {
            if (!what.isEmpty() && !what.equals(before.get(about))) {
                changed.add(what);
            }
        });
        before.keySet().stream()
                .filter(about -> !now.containsKey(about))
                .forEach(about -> changed.add("no more of " + about));
        return changed;
    }

    /** What is believed alike of several, one after the other, is said once. */
    static String together(Collection<String> all) {
        StringBuilder text = new StringBuilder();
        String last = null;
        for (String each : all) {
            if (each.isEmpty()) {
                continue;
            }
            int space = each.indexOf(' ');
            String rest = space < 0 ? null : each.substring(space);
            if (rest != null && rest.equals(last)) {
                text.insert(text.length() - rest.length(), " " + each.substring(0, space));
            } else {
                text.append(text.length() == 0 ? "" : ", ").append(each);
            }
            last = rest;
        }
        return text.toString();
    }
}
