package merlinlever.common.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A configuration file that is valid: every value has the type and lies in the range that its schema states, so the
 * accessors here need not check again. Paths are keys and list indexes joined by dots, such as {@code zones.0.origin}.
 * Immutable.
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
     * @throws InvalidConfigFileException with all faults of the file, each on a line with its place
     */
    public static ConfigFile read(Path file, ConfigSchema schema) throws InvalidConfigFileException {
        YamlDocument document = YamlDocument.read(file);
        new SchemaValidator(schema).validate(file, document);
        return new ConfigFile(file, document);
    }

    /** The file as it was named to {@link #read}. */
    public Path file() {
        return file;
    }

    private static String pointer(String path) {
        return path.isEmpty() ? "" : "/" + path.replace('.', '/');
    }

    private JsonNode at(String path) {
        return document.root().at(pointer(path));
    }

    /** Whether there is a value other than null. */
    public boolean has(String path) {
        return !at(path).isMissingNode() && !at(path).isNull();
    }

    /** The value as text, or the default where there is none. */
    public String text(String path, String defaultValue) {
        return has(path) ? at(path).asText() : defaultValue;
    }

    /** The value as a whole number, or the default where there is none. */
    public long number(String path, long defaultValue) {
        return has(path) ? at(path).asLong() : defaultValue;
    }

    /** A number with its unit, such as 250ms, 3s, 5m or 1h, or the default where there is none. */
    public Duration duration(String path, Duration defaultValue) {
        if (!has(path)) {
            return defaultValue;
        }
        String text = at(path).asText();
        int unitAt = 0;
        while (unitAt < text.length() && Character.isDigit(text.charAt(unitAt))) {
            unitAt++;
        }
        long count = Long.parseLong(text.substring(0, unitAt));
        return switch (text.substring(unitAt)) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }

    /** A percentage such as 50% as a fraction from 0 to 1, or the default where there is none. */
    public double fraction(String path, double defaultValue) {
        return has(path) ? Double.parseDouble(at(path).asText().replace("%", "")) / PERCENT_PER_UNIT : defaultValue;
    }

    /** A path of the file system; a relative one is resolved against the folder of this file. */
    public Path path(String path, String defaultValue) {
        Path folder = file.toAbsolutePath().getParent();
        return folder.resolve(text(path, defaultValue)).normalize();
    }

    /** The number of elements of a list or of keys of a mapping, 0 where there is none. */
    public int size(String path) {
        return has(path) ? at(path).size() : 0;
    }

    /** The elements of a list as text, empty where there is none. */
    public List<String> textList(String path) {
        List<String> texts = new ArrayList<>();
        at(path).forEach(element -> texts.add(element.asText()));
        return texts;
    }

    /** The value as JSON text, {@code []} where there is none. */
    public String json(String path) {
        return has(path) ? at(path).toString() : "[]";
    }

    /** The keys of a mapping with their values as text, in the order of the file. */
    public Map<String, String> textMap(String path) {
        Map<String, String> map = new LinkedHashMap<>();
        at(path).properties()
                .forEach(entry -> map.put(entry.getKey(), entry.getValue().asText()));
        return map;
    }

    /** A fault of one value that its schema cannot express, reported in the same form as a violation of the schema. */
    public InvalidConfigFileException invalidValue(String path, String reason) {
        int line = document.line("/" + path.replace('.', '/'), 1);
        return new InvalidConfigFileException(file + ":" + line + ": " + path + ": " + reason);
    }

    /** The same with what made the value unusable. */
    public InvalidConfigFileException invalidValue(String path, String reason, Throwable cause) {
        InvalidConfigFileException fault = invalidValue(path, reason);
        fault.initCause(cause);
        return fault;
    }
}
