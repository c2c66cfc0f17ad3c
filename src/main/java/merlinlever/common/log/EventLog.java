package merlinlever.common.log;

/** Receives the log events of a component. Implementations document which threads may call them. */
@FunctionalInterface
public interface EventLog {

    /** Discards every event. */
    EventLog NONE = event -> {};

    /** Logs one event; never throws and never blocks for long. */
    void write(LogEvent event);

    /** Logs an event of level INFO whose text is already formatted, including the fields. */
    default void info(String text) {
        write(LogEvent.info(text));
    }

    /** Returns a log that writes to this log and adds a prefix to the name of each event. */
    default EventLog withPrefix(String prefix) {
        return event -> write(event.withPrefix(prefix));
    }
}
