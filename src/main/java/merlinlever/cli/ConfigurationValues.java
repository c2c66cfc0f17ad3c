package merlinlever.cli;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The values of the JSON configuration of {@code serve}, by path, with validating accessors for each type. Error
 * messages contain the path and the allowed values, since {@code serve} loads no schema library that could report them.
 */
final class ConfigurationValues {

    private static final int MAX_PORT = 0xffff;

    private final Map<String, String> valueByPath;

    ConfigurationValues(Map<String, String> valueByPath) {
        this.valueByPath = Collections.unmodifiableMap(new LinkedHashMap<>(valueByPath));
    }

    boolean has(String path) {
        return valueByPath.containsKey(path);
    }

    /** Returns the paths of all values in the order of the file. */
    Set<String> paths() {
        return valueByPath.keySet();
    }

    String text(String path, String defaultValue) {
        return valueByPath.getOrDefault(path, defaultValue);
    }

    /**
     * Parses a number in Java's syntax, which includes NaN and infinity.
     *
     * @throws InvalidConfigurationException if the value is not a number
     */
    double number(String path, double defaultValue) throws InvalidConfigurationException {
        if (!has(path)) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(valueByPath.get(path));
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(
                    "the configuration's " + path + " is " + valueByPath.get(path) + "; allowed: a number", e);
        }
    }

    /** Parses a number between {@code min} and {@code max}, both inclusive. */
    double numberBetween(String path, double defaultValue, double min, double max)
            throws InvalidConfigurationException {
        double number = number(path, defaultValue);
        if (!(number >= min && number <= max)) {
            throw new InvalidConfigurationException("the configuration's " + path + " is " + valueByPath.get(path)
                    + "; allowed: a number from " + (long) min + " to " + (long) max);
        }
        return number;
    }

    /** Parses {@code ADDRESS:PORT}; port 0 stands for any free port. */
    InetSocketAddress address(String path) throws InvalidConfigurationException {
        String text = valueByPath.get(path);
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !isPort(text.substring(colon + 1))) {
            String found = text == null ? " is missing" : " is " + text;
            throw new InvalidConfigurationException("the configuration's " + path + found + "; allowed: ADDRESS:PORT");
        }
        InetSocketAddress address =
                new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new InvalidConfigurationException("the configuration's " + path + " cannot be resolved: " + text);
        }
        return address;
    }

    /** Parses the address of another program, whose port must not be 0. */
    InetSocketAddress peerAddress(String path) throws InvalidConfigurationException {
        InetSocketAddress address = address(path);
        if (address.getPort() == 0) {
            throw new InvalidConfigurationException(
                    "the configuration's " + path + " has port 0; allowed: 1 to " + MAX_PORT);
        }
        return address;
    }

    private static boolean isPort(String text) {
        return text.matches("[0-9]{1,5}") && Integer.parseInt(text) <= MAX_PORT;
    }
}
