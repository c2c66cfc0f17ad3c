package merlinlever.cli;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The values of the JSON configuration of {@code serve}, by path, with the checks that each kind of value needs. Every check that
 * fails names the value and what is allowed, as {@code serve} loads no schema library that could do so.
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

    /** All paths that have a value, in the order of the file. */
    Set<String> paths() {
        return valueByPath.keySet();
    }

    String text(String path, String defaultValue) {
        return valueByPath.getOrDefault(path, defaultValue);
    }

    /**
     * A number in Java's own form, also NaN and infinity.
     *
     * @throws InvalidConfigurationException if the value is none
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

    /** A number from the least to the greatest allowed one. */
    double numberBetween(String path, double defaultValue, double min, double max)
            throws InvalidConfigurationException {
        double number = number(path, defaultValue);
        if (!(number >= min && number <= max)) {
            throw new InvalidConfigurationException("the configuration's " + path + " is " + valueByPath.get(path)
                    + "; allowed: a number from " + (long) min + " to " + (long) max);
        }
        return number;
    }

    /** {@code ADDRESS:PORT}; port 0 stands for any free one. */
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
            throw new InvalidConfigurationException("the configuration's " + path + " is not known: " + text);
        }
        return address;
    }

    /** The address of another program, which has to be one that can be connected to. */
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
