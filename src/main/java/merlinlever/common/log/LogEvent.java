package merlinlever.common.log;

import java.util.ArrayList;
import java.util.List;

/**
 * One event for a log: its level, its name in kebab-case and its fields in order. Immutable; {@link #with} returns a
 * longer copy:
 *
 * <pre>{@code
 * log.write(LogEvent.warn("agent-link-lost").with("reason", reason).with("last_offset", offset));
 * }</pre>
 *
 * @param level whether an operator has to act
 * @param name what happened, without spaces
 * @param fields its details
 */
public record LogEvent(LogLevel level, String name, List<Field> fields) {

    /**
     * A detail of an event.
     *
     * @param key its name in snake_case, with the unit where there is one, as {@code silent_ms}
     * @param value its text, not quoted
     */
    public record Field(String key, String value) {

        /** {@code key=value}; the value in double quotes if it is empty or has a space, a quote or an equals sign. */
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

    /** An event that needs nothing to be done. */
    public static LogEvent info(String name) {
        return new LogEvent(LogLevel.INFO, name, List.of());
    }

    /** An event that an operator should look at. */
    public static LogEvent warn(String name) {
        return new LogEvent(LogLevel.WARN, name, List.of());
    }

    /** A fault of the program or the machine, with the exception and the place where it was thrown. */
    public static LogEvent error(String name, Throwable cause) {
        LogEvent event = new LogEvent(LogLevel.ERROR, name, List.of()).with("error", cause);
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length > 0 ? event.with("at", trace[0]) : event;
    }

    /** This event with one more field, whose value is the text of that object. */
    public LogEvent with(String key, Object value) {
        List<Field> longer = new ArrayList<>(fields);
        longer.add(new Field(key, String.valueOf(value)));
        return new LogEvent(level, name, longer);
    }

    /** This event with a prefix before its name. */
    public LogEvent withPrefix(String prefix) {
        return new LogEvent(level, prefix + name, fields);
    }

    /** The event as a line without time and level: its name, then {@code key=value} for each field. */
    public String text() {
        StringBuilder text = new StringBuilder(name);
        for (Field field : fields) {
            text.append(' ').append(field.text());
        }
        return text.toString();
    }
}
