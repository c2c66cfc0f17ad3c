package merlinlever.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/** One configuration file that was found good: every value is of the type and in the range that its schema states. */
public final class ConfigFile {

    /** The names of all schemas. */
    public static final List<String> SCHEMAS = List.of("zone-serve", "zone-follow", "host-run", "faults");

    private static final long MOST_BYTES = 1 << 20;
    private static final int MOST_FAULTS = 50;

    /** A file that cannot be used: one line for each fault, {@code FILE:LINE: reason}. */
    public static final class InvalidConfigFileException extends Exception {
        private static final long serialVersionUID = 1;

        public InvalidConfigFileException(String message) {
            super(message);
        }
    }

    private final Path file;
    private final JsonNode values;
    private final Map<String, Integer> lines;

    private ConfigFile(Path file, JsonNode values, Map<String, Integer> lines) {
        this.file = file;
        this.values = values;
        this.lines = lines;
    }

    /** The text of a schema, or null where there is none of that name. */
    public static String schema(String name) {
        if (!SCHEMAS.contains(name)) {
            return null;
        }
        try (InputStream in = ConfigFile.class.getResourceAsStream("/schemas/" + name + ".json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public static ConfigFile read(Path file, String schema) throws InvalidConfigFileException {
        String text = text(file);
        Map<String, Integer> lines = new HashMap<>();
        JsonNode values = compose(file, text, lines);
        Schema form = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schema(schema), InputFormat.JSON);
        Map<Integer, List<String>> faults = new TreeMap<>();
        for (Error fault : form.validate(values)) {
            String at = fault.getInstanceLocation().toString();
            String extra = fault.getProperty() != null ? at + "/" + fault.getProperty() : at;
            int line = lines.getOrDefault(extra, lines.getOrDefault(at, 1));
            faults.computeIfAbsent(line, l -> new ArrayList<>())
                    .add(file + ":" + line + ": "
                            + (at.isEmpty() ? "" : at.substring(1).replace('/', '.') + ": ")
                            + plain(fault, at(schema, fault)));
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigFileException(String.join(
                    "\n",
                    faults.values().stream()
                            .flatMap(List::stream)
                            .distinct()
                            .limit(MOST_FAULTS)
                            .toList()));
        }
        return new ConfigFile(file, values, lines);
    }

    /** The part of the schema that the fault is about. */
    private static JsonNode at(String schema, Error fault) {
        try {
            String place = fault.getSchemaLocation().toString();
            place = place.substring(place.indexOf('#') + 1);
            return new ObjectMapper().readTree(schema(schema)).at(place.substring(0, place.lastIndexOf('/')));
        } catch (IOException | RuntimeException e) {
            return JsonNodeFactory.instance.objectNode();
        }
    }

    private static String plain(Error fault, JsonNode form) {
        String about = form.path("description").asText("");
        return switch (String.valueOf(fault.getKeyword())) {
            case "additionalProperties" -> "no key '" + fault.getProperty() + "' is known here; allowed are "
                    + String.join(
                            ", ",
                            form.path("properties").properties().stream()
                                    .map(Map.Entry::getKey)
                                    .toList());
            case "required" -> "the key '" + fault.getProperty() + "' is missing";
            case "pattern" -> "not of the form " + form.path("pattern").asText()
                    + (about.isEmpty() ? "" : " (" + about + ")");
            default -> fault.getMessage().replaceFirst("^/[^:]*: ", "") + (about.isEmpty() ? "" : " (" + about + ")");
        };
    }

    private static String text(Path file) throws InvalidConfigFileException {
        try {
            if (!Files.isRegularFile(file)) {
                throw new InvalidConfigFileException(
                        file + ": " + (Files.exists(file) ? "not a plain file" : "no such file"));
            }
            if (Files.size(file) > MOST_BYTES) {
                throw new InvalidConfigFileException(file + ": over " + MOST_BYTES + " bytes");
            }
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidConfigFileException(file + ": not UTF-8");
        } catch (IOException e) {
            throw new InvalidConfigFileException(
                    file + ": cannot be read: " + e.getClass().getSimpleName());
        }
    }

    private static JsonNode compose(Path file, String text, Map<String, Integer> lines)
            throws InvalidConfigFileException {
        LoaderOptions bounds = new LoaderOptions();
        bounds.setMaxAliasesForCollections(10);
        bounds.setNestingDepthLimit(20);
        try {
            Node root = new Yaml(new SafeConstructor(bounds)).compose(new StringReader(text));
            if (root == null) {
                throw new InvalidConfigFileException(file + ":1: nothing in it");
            }
            return node(file, root, "", lines, 0);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            throw new InvalidConfigFileException(file + ":" + line + ": " + e.getProblem());
        } catch (YAMLException e) {
            throw new InvalidConfigFileException(
                    file + ":1: " + e.getMessage().lines().findFirst().orElse("not YAML"));
        }
    }

    private static JsonNode node(Path file, Node node, String path, Map<String, Integer> lines, int depth)
            throws InvalidConfigFileException {
        int line = node.getStartMark().getLine() + 1;
        lines.putIfAbsent(path, line);
        if (depth > 20) {
            throw new InvalidConfigFileException(file + ":" + line + ": nested too deeply");
        }
        JsonNodeFactory make = JsonNodeFactory.instance;
        if (node instanceof MappingNode mapping) {
            ObjectNode object = make.objectNode();
            for (NodeTuple pair : mapping.getValue()) {
                int at = pair.getKeyNode().getStartMark().getLine() + 1;
                if (!(pair.getKeyNode() instanceof ScalarNode key)) {
                    throw new InvalidConfigFileException(file + ":" + at + ": a key is one word");
                }
                String below = path + "/" + key.getValue();
                if (object.has(key.getValue())) {
                    throw new InvalidConfigFileException(
                            file + ":" + at + ": the key '" + key.getValue() + "' comes twice");
                }
                lines.put(below, at);
                object.set(key.getValue(), node(file, pair.getValueNode(), below, lines, depth + 1));
            }
            return object;
        }
        if (node instanceof SequenceNode sequence) {
            ArrayNode array = make.arrayNode();
            for (Node each : sequence.getValue()) {
                array.add(node(file, each, path + "/" + array.size(), lines, depth + 1));
            }
            return array;
        }
        String value = ((ScalarNode) node).getValue();
        Tag tag = node.getTag();
        try {
            return tag.equals(Tag.INT)
                    ? make.numberNode(Long.decode(value.replace("_", "")))
                    : tag.equals(Tag.FLOAT)
                            ? make.numberNode(Double.parseDouble(value))
                            : tag.equals(Tag.BOOL)
                                    ? make.booleanNode(List.of("true", "yes", "on")
                                            .contains(value.toLowerCase(java.util.Locale.ROOT)))
                                    : tag.equals(Tag.NULL) ? make.nullNode() : make.textNode(value);
        } catch (NumberFormatException e) {
            return make.textNode(value);
        }
    }

    // ---- what it says; the schema has seen to it that the types fit

    public Path file() {
        return file;
    }

    private JsonNode at(String path) {
        return values.at(path.isEmpty() ? "" : "/" + path.replace('.', '/'));
    }

    public boolean has(String path) {
        return !at(path).isMissingNode() && !at(path).isNull();
    }

    public String text(String path, String absent) {
        return has(path) ? at(path).asText() : absent;
    }

    public long number(String path, long absent) {
        return has(path) ? at(path).asLong() : absent;
    }

    /** A span such as 250ms, 3s, 5m or 1h. */
    public Duration span(String path, Duration absent) {
        if (!has(path)) {
            return absent;
        }
        String text = at(path).asText();
        int unit = 0;
        while (unit < text.length() && Character.isDigit(text.charAt(unit))) {
            unit++;
        }
        long count = Long.parseLong(text.substring(0, unit));
        return switch (text.substring(unit)) {
            case "ms" -> Duration.ofMillis(count);
            case "s" -> Duration.ofSeconds(count);
            case "m" -> Duration.ofMinutes(count);
            default -> Duration.ofHours(count);
        };
    }

    /** A share such as 50%, from 0 to 1. */
    public double share(String path, double absent) {
        return has(path) ? Double.parseDouble(at(path).asText().replace("%", "")) / 100 : absent;
    }

    /** A path; a relative one is relative to this file. */
    public Path path(String path, String absent) {
        Path folder = file.toAbsolutePath().getParent();
        return folder.resolve(text(path, absent)).normalize();
    }

    public int size(String path) {
        return has(path) ? at(path).size() : 0;
    }

    public List<String> texts(String path) {
        List<String> texts = new ArrayList<>();
        at(path).forEach(each -> texts.add(each.asText()));
        return texts;
    }

    /** The value as JSON, "[]" where there is none. */
    public String json(String path) {
        return has(path) ? at(path).toString() : "[]";
    }

    /** The keys of a mapping with their values as text, in the order of the file. */
    public Map<String, String> pairs(String path) {
        Map<String, String> pairs = new java.util.LinkedHashMap<>();
        at(path).properties()
                .forEach(each -> pairs.put(each.getKey(), each.getValue().asText()));
        return pairs;
    }

    /** What is wrong with a value beyond its form, in the same one line as the schema's faults. */
    public InvalidConfigFileException fault(String path, String reason) {
        return new InvalidConfigFileException(
                file + ":" + lines.getOrDefault("/" + path.replace('.', '/'), 1) + ": " + path + ": " + reason);
    }
}
