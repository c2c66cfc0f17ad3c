package merlinlever.common.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import merlinlever.common.WireNamed;

/** The JSON Schemas for configuration files, which are resources of the program. */
public enum ConfigSchema implements WireNamed {
    /** The schema for {@code zone serve}. */
    ZONE_SERVE("zone-serve"),
    /** The schema for {@code zone follow}. */
    ZONE_FOLLOW("zone-follow"),
    /** The schema for {@code host run}. */
    HOST_RUN("host-run"),
    /** The schema for {@code faults play}. */
    FAULTS("faults");

    private final String wireName;

    ConfigSchema(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name of the schema on the command line. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** Returns the schema with the given name on the command line, or empty if no schema has the name. */
    public static Optional<ConfigSchema> named(String wireName) {
        return Arrays.stream(values())
                .filter(schema -> schema.wireName.equals(wireName))
                .findFirst();
    }

    /** Returns the names of all schemas on the command line, separated by commas. */
    public static String allNames() {
        return Arrays.stream(values()).map(ConfigSchema::wireName).collect(Collectors.joining(", "));
    }

    /** Returns the text of the schema, in JSON Schema draft 2020-12. */
    public String text() {
        try (InputStream resource = ConfigSchema.class.getResourceAsStream("/schemas/" + wireName + ".json")) {
            return new String(resource.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the schema " + wireName, e);
        }
    }
}
