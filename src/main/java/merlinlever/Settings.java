package merlinlever;

import java.time.Duration;
import java.util.Map;

/** What is stated at start, by name, each as the kind of value that is asked for. */
public record Settings(Map<String, String> values) {

    public boolean has(String name) {
        return values.containsKey(name);
    }

    public String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    public boolean flag(String name) {
        return Boolean.parseBoolean(values.get(name));
    }

    /** A number; {@code absent} also stands for what is no number. */
    public double number(String name, double absent) {
        try {
            return Double.parseDouble(text(name, "" + absent));
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    public Duration span(String name, double absentMs) {
        return Durations.millis(number(name, absentMs));
    }

    /** One place of a row of values; {@code absent} also stands for an empty one. */
    public String nth(String name, int index, String absent) {
        String[] row = text(name, "").split(",");
        return index < row.length && !row[index].isEmpty() ? row[index] : absent;
    }
}
