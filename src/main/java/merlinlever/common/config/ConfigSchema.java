package merlinlever.common.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import merlinlever.common.WireNamed;

/** The JSON Schemas that configuration files are validated against; each is a resource of this program. */
public enum ConfigSchema implements WireNamed {
    /** Of {@code zone serve}. */
    ZONE_SERVE("zone-serve"),
    /** Of {@code zone follow}. */
    ZONE_FOLLOW("zone-follow"),
    /** Of {@code host run}. */
    HOST_RUN("host-run"),
    /** Of {@code faults play}. */
    FAULTS("faults");

    private final String wireName;

    ConfigSchema(String wireName) {
        this.wireName = wireName;
    }

    /** The name under which operators ask for the schema on the command line. */
    @Override
    public String wireName() {
        return wireName;
    }

    /** The schema of that name on the command line, if there is one. */
    public static Optional<ConfigSchema> named(String wireName) {
        return Arrays.stream(values())
                .filter(schema -> schema.wireName.equals(wireName))
                .findFirst();
    }

    /** All names as operators write them, separated by commas. */
    public static String allNames() {
        return Arrays.stream(values()).map(ConfigSchema::wireName).collect(Collectors.joining(", "));
    }

    /** The text of the schema, JSON Schema of draft 2020-12. */
    public String text() {
        try (InputStream resource = ConfigSchema.class.getResourceAsStream("/schemas/" + wireName + ".json")) {
            return new String(resource.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("schema " + wireName, e);
        }
    }
}
