package merlinlever.common.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A valid configuration file: all values have the types and ranges required by the schema, so the accessors do not
 * check them again. A path consists of keys and list indexes joined by dots, as in {@code zones.0.origin}. Immutable.
 */
public final class ConfigFile {

    private static final double PERCENT_PER_UNIT = 100;

    private final Path file;
    private final YamlDocument document;

    private ConfigFile(Path file, YamlDocument document) {
        this.file = file;
        this.document = document;
    }

    /**
     * Reads and validates a YAML file.
     *
     * @throws InvalidConfigFileException with one line for each fault of the file
     */
    public static ConfigFile read(Path file, ConfigSchema schema) throws InvalidConfigFileException {
        YamlDocument document = YamlDocument.read(file);
        new SchemaValidator(schema).validate(file, document);
        return new ConfigFile(file, document);
    }

    /** Returns the path that was passed to {@link #read}. */
    public Path file() {
        return file;
    }

    private static String pointer(String path) {
        return path.isEmpty() ? "" : "/" + path.replace('.', '/');
    }

    private JsonNode at(String path) {
        return document.root().at(pointer(path));
    }

    /** Returns whether the path has a value other than null. */
    public boolean has(String path) {
        return !at(path).isMissingNode() && !at(path).isNull();
    }

    /** Returns the value as text, or the default if the path has no value. */
    public String text(String path, String defaultValue) {
        return has(path) ? at(path).asText() : defaultValue;
    }

    /** Returns the value as an integer, or the default if the path has no value. */
    public long number(String path, long defaultValue) {
        return has(path) ? at(path).asLong() : defaultValue;
    }

    /** Returns a duration such as 250ms, 3s, 5m or 1h, or the default if the path has no value. */
    public Duration duration(String path, Duration defaultValue) {
        if (!has(path)) {
            return defaultValue;
        }
        String text = at(path).asText();
        int unitStart = 0;
        while (unitStart < text.length() && Character.isDigit(text.charAt(unitStart))) {
            unitStart++;
        }
        long count = Long.parseLong(text.substring(0, unitStart));
        return switch (text.substring(unitStart)) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }

    /** Returns a percentage such as 50% as a fraction from 0 to 1, or the default if the path has no value. */
    public double fraction(String path, double defaultValue) {
        return has(path) ? Double.parseDouble(at(path).asText().replace("%", "")) / PERCENT_PER_UNIT : defaultValue;
    }

    /** Returns a path of the file system; relative paths are resolved against the directory of this file. */
    public Path path(String path, String defaultValue) {
        Path directory = file.toAbsolutePath().getParent();
        return directory.resolve(text(path, defaultValue)).normalize();
    }

    /** Returns the number of elements of a list or keys of a mapping, or 0 if the path has no value. */
    public int size(String path) {
        return has(path) ? at(path).size() : 0;
    }

    /** Returns the elements of a list as text; empty if the path has no value. */
    public List<String> textList(String path) {
        List<String> texts = new ArrayList<>();
        at(path).forEach(element -> texts.add(element.asText()));
        return texts;
    }

    /** Returns the value as JSON text, or {@code []} if the path has no value. */
    public String json(String path) {
        return has(path) ? at(path).toString() : "[]";
    }

    /** Returns the keys and values of a mapping as text, in the order of the file. */
    public Map<String, String> textMap(String path) {
        Map<String, String> map = new LinkedHashMap<>();
        at(path).properties()
                .forEach(entry -> map.put(entry.getKey(), entry.getValue().asText()));
        return map;
    }

    /** Returns an exception for a fault that the schema cannot express, in the format of a schema violation. */
    public InvalidConfigFileException invalidValue(String path, String reason) {
        int line = document.line("/" + path.replace('.', '/'), 1);
        return new InvalidConfigFileException(file + ":" + line + ": " + path + ": " + reason);
    }

    /** Returns an exception as {@link #invalidValue(String, String)} does, with a cause. */
    public InvalidConfigFileException invalidValue(String path, String reason, Throwable cause) {
        InvalidConfigFileException fault = invalidValue(path, reason);
        fault.initCause(cause);
        return fault;
    }
}
