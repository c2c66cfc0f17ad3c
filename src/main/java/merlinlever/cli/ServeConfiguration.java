package merlinlever.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import merlinlever.core.SettingsTranslator;
import merlinlever.core.SettingsValidator;
import merlinlever.json.Json;

/**
 * One reading of the file that a backend is told by, checked as a whole: at the start and at each SIGHUP it is either of
 * use in all its parts or of none.
 *
 * @param rest all of it, by path
 * @param given the settings, by our names
 * @param records null where there is none
 * @param stopAfter the notice to leave
 * @param remarks what is not known, or missing and assumed, one line each
 */
record ServeConfiguration(
        Map<String, String> rest,
        Map<String, String> given,
        InetSocketAddress agent,
        InetSocketAddress records,
        InetSocketAddress lookup,
        Duration stopAfter,
        int sockets,
        long seed,
        String name,
        List<String> remarks) {

    /** Longer is no configuration: it is read by the one thread that serves. */
    private static final int LONGEST = 1 << 20;

    private static final double USUAL_STOP_MS = 3000;
    private static final double LONGEST_STOP_MS = 86_400_000;
    private static final int USUAL_SOCKETS = 1024;
    /** Under it there is no room for the links, a few calls and a few edge nodes, beside the runtime's own files. */
    static final int LEAST_SOCKETS = 32;

    /** Reads the file that the environment names. */
    static ServeConfiguration read(Map<String, String> environment) throws ServeCommand.InvalidConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new ServeCommand.InvalidConfigurationException("GW_CONFIG names no configuration");
        }
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            byte[] bytes = in.readNBytes(LONGEST + 1);
            if (bytes.length > LONGEST) {
                throw new ServeCommand.InvalidConfigurationException("is longer than " + LONGEST + " bytes");
            }
            return of(
                    Json.object(StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString()),
                    environment);
        } catch (CharacterCodingException e) {
            throw new ServeCommand.InvalidConfigurationException("is not UTF-8");
        } catch (IOException e) {
            throw new ServeCommand.InvalidConfigurationException(
                    "cannot be read: " + e.getClass().getSimpleName());
        } catch (Json.MalformedJsonException e) {
            throw new ServeCommand.InvalidConfigurationException("is no JSON object: " + e.getMessage());
        }
    }

    private static ServeConfiguration of(Map<?, ?> configuration, Map<String, String> environment)
            throws ServeCommand.InvalidConfigurationException {
        Map<String, String> rest = Json.flat(configuration);
        Map<String, String> stated = configuration.get("settings") instanceof Map<?, ?> map ? Json.flat(map) : Map.of();
        ServeCommand.address(rest, "listen");
        SettingsValidator check = new SettingsValidator(stated);
        InetSocketAddress records = rest.containsKey("records") ? party(rest, "records") : null;
        InetSocketAddress agent = party(rest, "agent");
        InetSocketAddress lookup = party(rest, "lookup");
        if (!check.problems().isEmpty()) {
            throw new ServeCommand.InvalidConfigurationException(
                    check.problems().get(0));
        }
        double stopMs = ranged(rest, "stop_ms", USUAL_STOP_MS, 0, LONGEST_STOP_MS);
        int sockets = (int) ranged(rest, "limits.sockets", USUAL_SOCKETS, LEAST_SOCKETS, 1e9);
        String name = rest.getOrDefault("name", environment.getOrDefault("GW_NAME", ""));
        List<String> missing = new ArrayList<>(check.assumedDefaults());
        String seed = rest.get("seed");
        boolean hex = seed != null && seed.matches("[0-9a-fA-F]{1,16}");
        assumed(missing, rest.containsKey("stop_ms"), "stop_ms (" + (long) USUAL_STOP_MS + ")");
        assumed(missing, rest.containsKey("limits.sockets"), "limits.sockets (" + USUAL_SOCKETS + ")");
        assumed(missing, hex, "a seed of 1 to 16 hex digits (one made of the name)");
        assumed(missing, !name.isEmpty(), "name (reports name nobody)");
        List<String> remarks = new ArrayList<>();
        List<String> unknown = SettingsTranslator.unknownNames(stated);
        if (!unknown.isEmpty()) {
            remarks.add("settings that are not known: " + String.join(" ", unknown));
        }
        if (!missing.isEmpty()) {
            remarks.add("missing, and assumed: " + String.join(", ", missing));
        }
        return new ServeConfiguration(
                rest,
                SettingsTranslator.translate(stated),
                agent,
                records,
                lookup,
                Duration.ofMillis((long) stopMs),
                sockets,
                hex ? Long.parseUnsignedLong(seed, 16) : name.hashCode(),
                name,
                remarks);
    }

    private static void assumed(List<String> missing, boolean there, String what) {
        if (!there) {
            missing.add(what);
        }
    }

    /** The address of a party, which is one that can be connected to. */
    private static InetSocketAddress party(Map<String, String> rest, String name)
            throws ServeCommand.InvalidConfigurationException {
        InetSocketAddress address = ServeCommand.address(rest, name);
        if (address.getPort() == 0) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's " + name + " has port 0; allowed: 1 to 65535");
        }
        return address;
    }

    private static double ranged(Map<String, String> rest, String name, double absent, double least, double most)
            throws ServeCommand.InvalidConfigurationException {
        double number = ServeCommand.number(rest, name, absent);
        if (!(number >= least && number <= most)) {
            throw new ServeCommand.InvalidConfigurationException("the configuration's " + name + " is " + rest.get(name)
                    + "; allowed: a number from " + (long) least + " to " + (long) most);
        }
        return number;
    }
}
