package merlinlever.host.run;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;

/** Bounded history of the last {@value #MAX_EVENTS} instance events. */
final class EventHistory {

    private static final int MAX_EVENTS = 2000;

    private final ArrayDeque<InstanceEvent> events = new ArrayDeque<>();
    private long lastNumber;

    void add(Duration now, String instance, String text) {
        events.add(new InstanceEvent(++lastNumber, now, instance, text));
        if (events.size() > MAX_EVENTS) {
            events.poll();
        }
    }

    /** Returns the events with a higher number, oldest first. */
    List<InstanceEvent> after(long number) {
        return events.stream().filter(event -> event.number() > number).toList();
    }
}
