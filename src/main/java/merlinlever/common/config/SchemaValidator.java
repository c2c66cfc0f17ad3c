package merlinlever.common.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Validates a document against a schema and describes each violation as one line, in the order of the file. */
final class SchemaValidator {

    private static final int MAX_REPORTED_FAULTS = 50;

    private final JsonNode schemaTree;
    private final Schema validator;

    SchemaValidator(ConfigSchema schema) {
        String text = schema.text();
        try {
            schemaTree = new ObjectMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("cannot parse the schema " + schema.wireName(), e);
        }
        validator = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(text, InputFormat.JSON);
    }

    /**
     * Validates a document.
     *
     * @throws InvalidConfigFileException with one line for each violation, up to {@value #MAX_REPORTED_FAULTS} lines
     */
    void validate(Path file, YamlDocument document) throws InvalidConfigFileException {
        Map<Integer, List<String>> faultsByLine = new TreeMap<>();
        for (Error violation : validator.validate(document.root())) {
            String pointer = violation.getInstanceLocation().toString();
            String propertyPointer =
                    violation.getProperty() != null ? pointer + "/" + violation.getProperty() : pointer;
            int line = document.line(propertyPointer, document.line(pointer, 1));
            String path = pointer.isEmpty() ? "" : pointer.substring(1).replace('/', '.') + ": ";
            faultsByLine
                    .computeIfAbsent(line, unused -> new ArrayList<>())
                    .add(file + ":" + line + ": " + path + describe(violation));
        }
        if (!faultsByLine.isEmpty()) {
            throw new InvalidConfigFileException(String.join(
                    "\n",
                    faultsByLine.values().stream()
                            .flatMap(List::stream)
                            .distinct()
                            .limit(MAX_REPORTED_FAULTS)
                            .toList()));
        }
    }

    private String describe(Error violation) {
        JsonNode schema = schemaNode(violation);
        String description = schema.path("description").asText("");
        String suffix = description.isEmpty() ? "" : " (" + description + ")";
        return switch (String.valueOf(violation.getKeyword())) {
            case "additionalProperties" -> "unknown key '" + violation.getProperty() + "'; allowed are "
                    + String.join(
                            ", ",
                            schema.path("properties").properties().stream()
                                    .map(Map.Entry::getKey)
                                    .toList());
            case "required" -> "the key '" + violation.getProperty() + "' is missing";
            case "pattern" -> "does not match " + schema.path("pattern").asText() + suffix;
            default -> violation.getMessage().replaceFirst("^/[^:]*: ", "") + suffix;
        };
    }

    /** Returns the schema node with the violated keyword, or an empty object if its location is not a JSON pointer. */
    private JsonNode schemaNode(Error violation) {
        String location = violation.getSchemaLocation().toString();
        String pointer = location.substring(location.indexOf('#') + 1);
        int keywordStart = pointer.lastIndexOf('/');
        if (keywordStart < 0 || (keywordStart > 0 && pointer.charAt(0) != '/')) {
            return JsonNodeFactory.instance.objectNode();
        }
        return schemaTree.at(pointer.substring(0, keywordStart));
    }
}
