package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The events of some nodes in the order of their times; at one time, in the order in which they were told. */
public final class Timeline {

    /** Events at the most; what comes after them is counted alone. */
    public static final int MOST = 5000;

    private final String title;
    private final List<String> nodes;
    private final List<TimelineEvent> events = new ArrayList<>();
    private long left;

    /** @param title what is played, and on further lines what is to be seen */
    public Timeline(String title, List<String> nodes) {
        this.title = title;
        this.nodes = List.copyOf(nodes);
    }

    public String title() {
        return title;
    }

    public List<String> nodes() {
        return nodes;
    }

    public void add(Duration at, String node, String what) {
        if (!node.isEmpty() && !nodes.contains(node)) {
            throw new IllegalArgumentException("no column for " + node);
        }
        if (events.size() < MOST) {
            events.add(new TimelineEvent(at, node, what));
        } else {
            left++;
        }
    }

    public List<TimelineEvent> events() {
        List<TimelineEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparing(TimelineEvent::at));
        return sorted;
    }

    /** Events for which there was no room. */
    public long left() {
        return left;
    }

    /**
     * Whether these happened one after the other, each written {@code node what}, by a part of it; with others between them or
     * not. The first that did not, or null.
     */
    public String missing(String... wanted) {
        int next = 0;
        for (TimelineEvent event : events()) {
            if (next < wanted.length && matches(event, wanted[next])) {
                next++;
            }
        }
        return next == wanted.length ? null : wanted[next];
    }

    private static boolean matches(TimelineEvent event, String wanted) {
        int space = wanted.indexOf(' ');
        return event.node().equals(wanted.substring(0, space)) && event.what().contains(wanted.substring(space + 1));
    }
}
