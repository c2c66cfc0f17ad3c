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
import merlinlever.common.json.Json;
import merlinlever.common.json.Json.MalformedJsonException;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.RawSettings;
import merlinlever.controller.settings.SettingsParser;
import merlinlever.controller.settings.SettingsValidator;

/**
 * The validated configuration of one backend, as read at the start or on SIGHUP.
 *
 * @param values all values of the file, by path
 * @param rawSettings controller settings as given in the file
 * @param settings parsed controller settings
 * @param agentAddress address of the render farm agent
 * @param recordsAddress address of the records service; null if the backend has none
 * @param directoryAddress address of the service directory, which receives the heartbeats
 * @param stopAfter time from SIGTERM to the end of the process
 * @param maxDescriptors maximum number of open file descriptors of the process
 * @param seed seed of all random number generators
 * @param name name of the backend; empty if none is configured
 * @param warnings log lines about unknown settings and about missing settings with their defaults
 */
record ServeConfiguration(
        ConfigurationValues values,
        RawSettings rawSettings,
        ControllerSettings settings,
        InetSocketAddress agentAddress,
        InetSocketAddress recordsAddress,
        InetSocketAddress directoryAddress,
        Duration stopAfter,
        int maxDescriptors,
        long seed,
        String name,
        List<String> warnings) {

    /** Limits the time for which reading the file blocks the thread that serves requests. */
    private static final int MAX_FILE_BYTES = 1 << 20;

    private static final double DEFAULT_STOP_MS = 3000;
    private static final double MAX_STOP_MS = 86_400_000;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final double MAX_DESCRIPTORS = 1e9;
    /** Sufficient for the links, a few calls, a few edge connections and the files of the JVM. */
    static final int MIN_DESCRIPTORS = 32;

    /**
     * Reads the file named by the environment variable {@code GW_CONFIG}.
     *
     * @throws InvalidConfigurationException if the file cannot be read or contains an invalid value
     */
    static ServeConfiguration read(Map<String, String> environment) throws InvalidConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new InvalidConfigurationException("GW_CONFIG is not set; it has to name the configuration file");
        }
        try (InputStream in = Files.newInputStream(Path.of(file))) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                throw new InvalidConfigurationException("is longer than " + MAX_FILE_BYTES + " bytes");
            }
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return parse(Json.parseObject(text), environment);
        } catch (CharacterCodingException e) {
            throw new InvalidConfigurationException("is not UTF-8", e);
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "cannot be read: " + e.getClass().getSimpleName(), e);
        } catch (MalformedJsonException e) {
            throw new InvalidConfigurationException("is not a JSON object: " + e.getMessage(), e);
        }
    }

    private static ServeConfiguration parse(Map<?, ?> json, Map<String, String> environment)
            throws InvalidConfigurationException {
        ConfigurationValues values = new ConfigurationValues(Json.flatten(json));
        RawSettings rawSettings =
                RawSettings.of(json.get("settings") instanceof Map<?, ?> map ? Json.flatten(map) : Map.of());
        values.address("listen");
        InetSocketAddress recordsAddress = values.has("records") ? values.peerAddress("records") : null;
        InetSocketAddress agentAddress = values.peerAddress("agent");
        InetSocketAddress directoryAddress = values.peerAddress("lookup");
        SettingsValidator validator = new SettingsValidator(rawSettings);
        if (!validator.problems().isEmpty()) {
            throw new InvalidConfigurationException(validator.problems().get(0));
        }
        double stopMs = values.numberBetween("stop_ms", DEFAULT_STOP_MS, 0, MAX_STOP_MS);
        double descriptors =
                values.numberBetween("limits.sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        String name = values.text("name", environment.getOrDefault("GW_NAME", ""));
        String seed = values.text("seed", "");
        boolean hasSeed = seed.matches("[0-9a-fA-F]{1,16}");
        return new ServeConfiguration(
                values,
                rawSettings,
                SettingsParser.parse(rawSettings),
                agentAddress,
                recordsAddress,
                directoryAddress,
                Duration.ofMillis((long) stopMs),
                (int) descriptors,
                hasSeed ? Long.parseUnsignedLong(seed, 16) : name.hashCode(),
                name,
                warnings(values, rawSettings.unknownPaths(), validator.assumedDefaults(), hasSeed, name));
    }

    private static List<String> warnings(
            ConfigurationValues values,
            List<String> unknownSettings,
            List<String> missingSettings,
            boolean hasSeed,
            String name) {
        List<String> defaulted = new ArrayList<>(missingSettings);
        if (!values.has("stop_ms")) {
            defaulted.add("stop_ms (" + (long) DEFAULT_STOP_MS + ")");
        }
        if (!values.has("limits.sockets")) {
            defaulted.add("limits.sockets (" + DEFAULT_DESCRIPTORS + ")");
        }
        if (!hasSeed) {
            defaulted.add("a seed of 1 to 16 hex digits (derived from the name)");
        }
        if (name.isEmpty()) {
            defaulted.add("name (reports to the service directory have none)");
        }
        List<String> warnings = new ArrayList<>();
        if (!unknownSettings.isEmpty()) {
            warnings.add("unknown-settings-ignored settings=" + String.join(" ", unknownSettings));
        }
        if (!defaulted.isEmpty()) {
            warnings.add("missing-settings-defaulted settings=" + String.join(", ", defaulted));
        }
        return warnings;
    }
}
