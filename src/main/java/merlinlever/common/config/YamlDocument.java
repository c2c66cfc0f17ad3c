package merlinlever.common.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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

/**
 * A YAML file as a JSON tree, with the line number of each value, so that faults can be reported with their line. Size,
 * nesting and aliases are bounded, as the file may be untrusted.
 */
final class YamlDocument {

    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final int MAX_ALIASES = 10;
    private static final int MAX_DEPTH = 20;
    private static final List<String> TRUE_LITERALS = List.of("true", "yes", "on");

    private final Path file;
    private final Map<String, Integer> lineByPointer = new HashMap<>();
    private final JsonNode root;

    private YamlDocument(Path file) throws InvalidConfigFileException {
        this.file = file;
        root = parse(readText(file));
    }

    /**
     * Reads a file.
     *
     * @throws InvalidConfigFileException if the file is not a regular UTF-8 file of at most 1 MiB that contains one
     *     YAML document with unique keys
     */
    static YamlDocument read(Path file) throws InvalidConfigFileException {
        return new YamlDocument(file);
    }

    JsonNode root() {
        return root;
    }

    /** Returns the line of a value, or of its key in a mapping, by JSON pointer; the empty pointer is the document. */
    int line(String pointer, int defaultLine) {
        return lineByPointer.getOrDefault(pointer, defaultLine);
    }

    private static String readText(Path file) throws InvalidConfigFileException {
        try {
            if (!Files.isRegularFile(file)) {
                String reason = Files.exists(file) ? "not a regular file" : "no such file";
                throw new InvalidConfigFileException(file + ": " + reason);
            }
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidConfigFileException(file + ": larger than " + MAX_FILE_BYTES + " bytes");
            }
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidConfigFileException(file + ": not UTF-8", e);
        } catch (IOException e) {
            throw new InvalidConfigFileException(
                    file + ": cannot be read: " + e.getClass().getSimpleName(), e);
        }
    }

    private JsonNode parse(String text) throws InvalidConfigFileException {
        LoaderOptions bounds = new LoaderOptions();
        bounds.setMaxAliasesForCollections(MAX_ALIASES);
        bounds.setNestingDepthLimit(MAX_DEPTH);
        try {
            Node node = new Yaml(new SafeConstructor(bounds)).compose(new StringReader(text));
            if (node == null) {
                throw fault(1, "the file is empty");
            }
            return toJson(node, "", 0);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            throw new InvalidConfigFileException(file + ":" + line + ": " + e.getProblem(), e);
        } catch (YAMLException e) {
            String reason = e.getMessage().lines().findFirst().orElse("invalid YAML");
            throw new InvalidConfigFileException(file + ":1: " + reason, e);
        }
    }

    private InvalidConfigFileException fault(int line, String reason) {
        return new InvalidConfigFileException(file + ":" + line + ": " + reason);
    }

    private JsonNode toJson(Node node, String pointer, int depth) throws InvalidConfigFileException {
        int line = node.getStartMark().getLine() + 1;
        lineByPointer.putIfAbsent(pointer, line);
        if (depth > MAX_DEPTH) {
            throw fault(line, "nested too deeply");
        }
        if (node instanceof MappingNode mapping) {
            return toJsonObject(mapping, pointer, depth);
        }
        if (node instanceof SequenceNode sequence) {
            ArrayNode array = JsonNodeFactory.instance.arrayNode();
            for (Node element : sequence.getValue()) {
                array.add(toJson(element, pointer + "/" + array.size(), depth + 1));
            }
            return array;
        }
        return toJsonScalar((ScalarNode) node);
    }

    private ObjectNode toJsonObject(MappingNode mapping, String pointer, int depth) throws InvalidConfigFileException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (NodeTuple pair : mapping.getValue()) {
            int line = pair.getKeyNode().getStartMark().getLine() + 1;
            if (!(pair.getKeyNode() instanceof ScalarNode keyNode)) {
                throw fault(line, "a key must be a scalar");
            }
            String key = keyNode.getValue();
            if (object.has(key)) {
                throw fault(line, "duplicate key '" + key + "'");
            }
            String valuePointer = pointer + "/" + key;
            lineByPointer.put(valuePointer, line);
            object.set(key, toJson(pair.getValueNode(), valuePointer, depth + 1));
        }
        return object;
    }

    /** Converts a scalar; a number out of range becomes text, which the schema rejects. */
    private static JsonNode toJsonScalar(ScalarNode node) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        String value = node.getValue();
        Tag tag = node.getTag();
        try {
            if (tag.equals(Tag.INT)) {
                return factory.numberNode(Long.decode(value.replace("_", "")));
            }
            if (tag.equals(Tag.FLOAT)) {
                return factory.numberNode(Double.parseDouble(value));
            }
        } catch (NumberFormatException e) {
            return factory.textNode(value);
        }
        if (tag.equals(Tag.BOOL)) {
            return factory.booleanNode(TRUE_LITERALS.contains(value.toLowerCase(Locale.ROOT)));
        }
        return tag.equals(Tag.NULL) ? factory.nullNode() : factory.textNode(value);
    }
}
