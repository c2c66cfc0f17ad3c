package merlinlever.common.log;

import java.util.ArrayList;
import java.util.List;

/**
 * A log event: a level, a name in kebab-case and an ordered list of fields. Immutable; {@link #with} returns a copy
 * with one more field:
 *
 * <pre>{@code
 * log.write(LogEvent.warn("agent-link-lost").with("reason", reason).with("last_offset", offset));
 * }</pre>
 *
 * @param level states whether an operator has to act
 * @param name name of the event, without spaces
 * @param fields details of the event
 */
public record LogEvent(LogLevel level, String name, List<Field> fields) {

    /**
     * A field of an event.
     *
     * @param key key in snake_case, with a unit if the value has one, as in {@code silent_ms}
     * @param value text of the value, without quotes
     */
    public record Field(String key, String value) {

        /**
         * Returns {@code key=value}, with quotes if the value is empty or contains a space, a quote or an equals sign.
         */
        String text() {
            return key + "=" + (needsQuotes() ? "\"" + value.replace("\"", "\\\"") + "\"" : value);
        }

        private boolean needsQuotes() {
            return value.isEmpty() || value.indexOf(' ') >= 0 || value.indexOf('"') >= 0 || value.indexOf('=') >= 0;
        }
    }

    /** Copies the fields. */
    public LogEvent {
        fields = List.copyOf(fields);
    }

    /** Creates an event that needs no action by an operator. */
    public static LogEvent info(String name) {
        return new LogEvent(LogLevel.INFO, name, List.of());
    }

    /** Creates an event that an operator should look at. */
    public static LogEvent warn(String name) {
        return new LogEvent(LogLevel.WARN, name, List.of());
    }

    /** Creates an event for a fault, with the exception and the location where it was thrown. */
    public static LogEvent error(String name, Throwable cause) {
        LogEvent event = new LogEvent(LogLevel.ERROR, name, List.of()).with("error", cause);
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length > 0 ? event.with("at", trace[0]) : event;
    }

    /** Returns this event with one more field, whose value is converted to text. */
    public LogEvent with(String key, Object value) {
        List<Field> extended = new ArrayList<>(fields);
        extended.add(new Field(key, String.valueOf(value)));
        return new LogEvent(level, name, extended);
    }

    /** Returns this event with a prefix added to its name. */
    public LogEvent withPrefix(String prefix) {
        return new LogEvent(level, prefix + name, fields);
    }

    /** Formats the event without time and level: the name, followed by {@code key=value} for each field. */
    public String text() {
        StringBuilder text = new StringBuilder(name);
        for (Field field : fields) {
            text.append(' ').append(field.text());
        }
        return text.toString();
    }
}
