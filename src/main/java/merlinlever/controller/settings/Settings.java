package merlinlever.controller.settings;

import java.time.Duration;
import java.util.Map;
import merlinlever.common.Durations;

/**
 * The settings of a controller by name, each read as the type that is asked for. The names are those that
 * {@link SettingsTranslator} translates to.
 */
public record Settings(Map<String, String> values) {

    /** Whether there is a setting of that name. */
    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** The setting as it is, or the default where there is none. */
    public String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Whether the setting is {@code true}; false where there is none. */
    public boolean flag(String name) {
        return Boolean.parseBoolean(values.get(name));
    }

    /** The setting as a number, or the default where there is none or it is no number. */
    public double number(String name, double defaultValue) {
        String text = values.get(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** The setting, in milliseconds, or the default where there is none or it is no number. */
    public Duration duration(String name, double defaultMs) {
        return Durations.ofMillis(number(name, defaultMs));
    }

    /** The element of a setting that is a list separated by commas, or the default where it is absent or empty. */
    public String listElement(String name, int index, String defaultValue) {
        String[] elements = text(name, "").split(",", -1);
        return index < elements.length && !elements[index].isEmpty() ? elements[index] : defaultValue;
    }
}
