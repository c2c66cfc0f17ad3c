package merlinlever.cli.fleet;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.host.run.InstanceSpec;

/**
 * Reads the instances of one machine from the list {@code kinds} of its agent's configuration. Each kind defines a
 * number of instances. Placeholders such as {@code {n}} and {@code {folder}} are replaced in their commands,
 * environments and files, and the files are written.
 */
final class InstanceSpecParser {

    private static final int MAX_PORT = 0xffff;
    private static final long DEFAULT_LOG_MB = 10;
    private static final long BYTES_PER_MB = 1024 * 1024;

    private final ConfigFile config;
    private final Path stateFolder;
    private final List<InstanceSpec> instances = new ArrayList<>();
    private final Set<String> names = new HashSet<>();
    private final Set<InetSocketAddress> managementAddresses = new HashSet<>();

    private InstanceSpecParser(ConfigFile config, Path stateFolder) {
        this.config = config;
        this.stateFolder = stateFolder;
    }

    /** Returns all instances in the order of the file, with their folders below the state folder of the agent. */
    static List<InstanceSpec> parse(ConfigFile config, Path stateFolder) throws InvalidConfigFileException {
        InstanceSpecParser parser = new InstanceSpecParser(config, stateFolder);
        for (int kind = 0; kind < config.size("kinds"); kind++) {
            parser.addKind("kinds." + kind);
        }
        return parser.instances;
    }

    private void addKind(String path) throws InvalidConfigFileException {
        long count = config.number(path + ".count", 1);
        for (int number = 1; number <= count; number++) {
            InstanceSpec instance = instance(path, number);
            if (!names.add(instance.name())) {
                throw config.invalidValue(
                        path + ".name", "the instance name " + instance.name() + " is already in use");
            }
            checkManagementAddress(path, instance);
            instances.add(instance);
        }
    }

    private void checkManagementAddress(String path, InstanceSpec instance) throws InvalidConfigFileException {
        Optional<InetSocketAddress> address = instance.managementAddress();
        if (address.isPresent() && !managementAddresses.add(address.get())) {
            throw config.invalidValue(
                    path + ".manage",
                    "another instance already uses the management port "
                            + address.get().getPort());
        }
    }

    private InstanceSpec instance(String path, int number) throws InvalidConfigFileException {
        String kind = config.text(path + ".name", "");
        String name = kind + "-" + number;
        Path folder = stateFolder.resolve(name);
        Optional<InetSocketAddress> managementAddress = managementAddress(path, number);
        Map<String, String> placeholders = placeholders(path, number, name, folder, managementAddress);
        writeFiles(path, folder, placeholders);
        return new InstanceSpec(
                name,
                kind,
                config.textMap(path + ".labels"),
                command(path, placeholders),
                environment(path, placeholders),
                folder,
                managementAddress,
                !config.text(path + ".start", "true").equals("false"),
                config.number(path + ".log-mb", DEFAULT_LOG_MB) * BYTES_PER_MB);
    }

    /**
     * Returns the management address, with consecutive ports for the instances of a kind; empty if none is configured.
     */
    private Optional<InetSocketAddress> managementAddress(String path, int number) throws InvalidConfigFileException {
        if (!config.has(path + ".manage")) {
            return Optional.empty();
        }
        String text = config.text(path + ".manage", "");
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1)) + number - 1;
        if (port > MAX_PORT) {
            throw config.invalidValue(path + ".manage", "the ports of " + number + " instances exceed " + MAX_PORT);
        }
        return Optional.of(new InetSocketAddress(text.substring(0, colon), port));
    }

    private Map<String, String> placeholders(
            String path, int number, String name, Path folder, Optional<InetSocketAddress> managementAddress) {
        Map<String, String> placeholders = new LinkedHashMap<>();
        placeholders.put("{n}", Integer.toString(number));
        placeholders.put("{name}", name);
        placeholders.put("{folder}", folder.toString());
        placeholders.put("{budgets}", config.json("budgets"));
        placeholders.put("{program}", programPath());
        managementAddress.ifPresent(
                address -> placeholders.put("{manage}", address.getHostString() + ":" + address.getPort()));
        for (String port : config.textMap(path + ".ports").keySet()) {
            long value = config.number(path + ".ports." + port, 0) + number - 1;
            placeholders.put("{" + port + "}", Long.toString(value));
        }
        return placeholders;
    }

    private static String programPath() {
        String path = InstanceSpecParser.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        return new File(path).getPath();
    }

    private List<String> command(String path, Map<String, String> placeholders) {
        List<String> command = new ArrayList<>();
        if (config.has(path + ".limits.sockets")) {
            long maxDescriptors = config.number(path + ".limits.sockets", 0);
            command.addAll(List.of("/bin/sh", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "sh"));
        }
        config.textList(path + ".command")
                .forEach(argument -> command.add(replacePlaceholders(argument, placeholders)));
        return command;
    }

    private Map<String, String> environment(String path, Map<String, String> placeholders) {
        Map<String, String> environment = new LinkedHashMap<>();
        config.textMap(path + ".environment")
                .forEach((key, value) -> environment.put(key, replacePlaceholders(value, placeholders)));
        return environment;
    }

    private void writeFiles(String path, Path folder, Map<String, String> placeholders)
            throws InvalidConfigFileException {
        try {
            Files.createDirectories(folder);
            for (Map.Entry<String, String> file :
                    config.textMap(path + ".files").entrySet()) {
                Path target = folder.resolve(file.getKey()).normalize();
                if (!target.startsWith(folder)) {
                    throw config.invalidValue(path + ".files", file.getKey() + " is outside of the instance's folder");
                }
                Files.writeString(target, replacePlaceholders(file.getValue(), placeholders));
            }
        } catch (IOException e) {
            throw new InvalidConfigFileException(
                    config.file() + ": state: " + folder + " cannot be written: " + e.getMessage(), e);
        }
    }

    private static String replacePlaceholders(String text, Map<String, String> placeholders) {
        String result = text;
        for (Map.Entry<String, String> placeholder : placeholders.entrySet()) {
            result = result.replace(placeholder.getKey(), placeholder.getValue());
        }
        return result;
    }
}
