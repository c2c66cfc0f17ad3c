package merlinlever;

import java.time.Duration;
import java.util.Map;

/** What is stated at start, by name, each as the kind of value that is asked for. */
public record Settings(Map<String, String> values) {

    public boolean has(String name) {
        return values.containsKey(name);
    }

    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    public boolean flag(String name) {
        return Boolean.parseBoolean(values.get(name));
    }

    /** A number; {@code absent} also stands for what is no number. */
    public double number(String name, double defaultValue) {
        try {
            return Double.parseDouble(text(name, "" + defaultValue));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    public Duration duration(String name, double defaultMs) {
        return Durations.ofMillis(number(name, defaultMs));
    }

    /** One place of a row of values; {@code absent} also stands for an empty one. */
    public String listElement(String name, int index, String defaultValue) {
        String[] elements = text(name, "").split(",");
        return index < elements.length && !elements[index].isEmpty() ? elements[index] : defaultValue;
    }
}
