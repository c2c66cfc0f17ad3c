package merlinlever.common.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON into maps, lists, strings, booleans, longs, doubles and null, and quotes strings. Integers of up to 18
 * digits are parsed as longs, all other numbers as doubles. Thread-safe.
 */
public final class Json {

    private Json() {}

    /** Thrown if a text is not valid JSON, is nested too deeply or is not of the requested type. */
    public static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1;

        /** Creates an exception whose message states the fault and its position. */
        public MalformedJsonException(String message) {
            super(message);
        }
    }

    /**
     * Parses any JSON value. If an object has a name more than once, the last value is used.
     *
     * @throws MalformedJsonException if the text is not valid JSON or nested too deeply
     */
    public static Object parse(String text) throws MalformedJsonException {
        return new JsonParser(text, false).parse();
    }

    /**
     * Parses a JSON object. If an object has a name more than once, the last value is used.
     *
     * @throws MalformedJsonException if the text is not a valid JSON object or nested too deeply
     */
    public static Map<?, ?> parseObject(String text) throws MalformedJsonException {
        return asObject(parse(text));
    }

    /**
     * Parses a JSON object and rejects duplicate names at every depth.
     *
     * @throws MalformedJsonException if the text is not a valid JSON object, is nested too deeply or has duplicate
     *     names
     */
    public static Map<?, ?> parseStrictObject(String text) throws MalformedJsonException {
        return asObject(new JsonParser(text, true).parse());
    }

    private static Map<?, ?> asObject(Object value) throws MalformedJsonException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedJsonException("value is not an object");
    }

    /** Returns the text as a JSON string, with quotes and escapes. */
    public static String quote(String text) {
        StringBuilder out = new StringBuilder(text.length() + 2).append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    /**
     * Flattens an object to a map from paths to values. A path consists of names separated by dots; items of a list of
     * objects are named by their index, from 0. A list of plain values becomes one value, separated by commas. Nulls
     * are omitted.
     */
    public static Map<String, String> flatten(Map<?, ?> object) {
        Map<String, String> valuesByPath = new LinkedHashMap<>();
        collectValues("", object, valuesByPath);
        return valuesByPath;
    }

    private static void collectValues(String path, Object value, Map<String, String> valuesByPath) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, member) -> collectValues(prefix + name, member, valuesByPath));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            for (int i = 0; i < list.size(); i++) {
                collectValues(prefix + i, list.get(i), valuesByPath);
            }
        } else if (value instanceof List<?> list) {
            valuesByPath.put(
                    path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            valuesByPath.put(path, value.toString());
        }
    }
}
