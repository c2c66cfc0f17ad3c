package merlinlever.common.log;

/** Where a component reports what happened to it. Implementations say which threads may call them. */
@FunctionalInterface
public interface EventLog {

    /** Discards every event. */
    EventLog NONE = event -> {};

    /** Reports one event; never throws and never blocks for long. */
    void write(LogEvent event);

    /** Reports an event of level INFO whose text is already formatted, fields included. */
    default void info(String text) {
        write(LogEvent.info(text));
    }

    /** This log, with a prefix before the name of each event. */
    default EventLog withPrefix(String prefix) {
        return event -> write(event.withPrefix(prefix));
    }
}
