package merlinlever.common.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into maps, lists, strings, booleans, longs, doubles and null, and writes strings. Integers of up to 18
 * digits are longs, all other numbers doubles. Thread-safe.
 */
public final class Json {

    private Json() {}

    /** Text that is no JSON, nested too deeply or not of the kind that was asked for. */
    public static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1;

        /** With what is wrong and where. */
        public MalformedJsonException(String message) {
            super(message);
        }
    }

    /**
     * Reads any value. Of a name that an object has twice the last value counts.
     *
     * @throws MalformedJsonException if the text is no JSON or nested too deeply
     */
    public static Object parse(String text) throws MalformedJsonException {
        return new JsonParser(text, false).parse();
    }

    /**
     * Reads an object. Of a name that it has twice the last value counts.
     *
     * @throws MalformedJsonException if the text is no JSON object or nested too deeply
     */
    public static Map<?, ?> parseObject(String text) throws MalformedJsonException {
        return asObject(parse(text));
    }

    /**
     * Reads an object whose names are all different, at every depth.
     *
     * @throws MalformedJsonException if the text is no JSON object or nested too deeply, or if a name comes twice
     */
    public static Map<?, ?> parseStrictObject(String text) throws MalformedJsonException {
        return asObject(new JsonParser(text, true).parse());
    }

    private static Map<?, ?> asObject(Object value) throws MalformedJsonException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedJsonException("not an object");
    }

    /** The text as a JSON string, with its quotes. */
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
     * The values of an object by their paths, whose parts are set apart by dots. The items of a list of objects are
     * named by their index, from 0; a list of plain values becomes one value with commas. Nulls are left out.
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
