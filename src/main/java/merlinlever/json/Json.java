package merlinlever.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into maps, lists, strings, booleans, longs, doubles and null; depth is bounded, and whatever is no JSON
 * ends in {@link MalformedJsonException}.
 */
public final class Json {

    private static final int DEEPEST = 32;

    private final String text;
    private final boolean strict;
    private int at;

    private Json(String text, boolean strict) {
        this.text = text;
        this.strict = strict;
    }

    /** Text that is no JSON. */
    public static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1;

        public MalformedJsonException(String message) {
            super(message);
        }
    }

    public static Object parse(String text) throws MalformedJsonException {
        return parse(new Json(text, false), text);
    }

    /** As {@link #object}, but a name that comes twice in an object is a fault. */
    public static Map<?, ?> strictObject(String text) throws MalformedJsonException {
        if (parse(new Json(text, true), text) instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedJsonException("not an object");
    }

    private static Object parse(Json json, String text) throws MalformedJsonException {
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.fault("something follows the value");
        }
        return value;
    }

    /** The object that the text holds. */
    public static Map<?, ?> object(String text) throws MalformedJsonException {
        if (parse(text) instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedJsonException("not an object");
    }

    private MalformedJsonException fault(String what) {
        return new MalformedJsonException(what + " at " + at);
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private char peek() throws MalformedJsonException {
        if (at >= text.length()) {
            throw fault("the text ends");
        }
        return text.charAt(at);
    }

    private void expect(char c) throws MalformedJsonException {
        if (peek() != c) {
            throw fault("no '" + c + "'");
        }
        at++;
    }

    private Object value(int depth) throws MalformedJsonException {
        if (depth > DEEPEST) {
            throw fault("too deep");
        }
        space();
        char c = peek();
        return switch (c) {
            case '{' -> map(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> word("true", true);
            case 'f' -> word("false", false);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Object word(String word, Object value) throws MalformedJsonException {
        if (!text.startsWith(word, at)) {
            throw fault("unknown word");
        }
        at += word.length();
        return value;
    }

    private Map<String, Object> map(int depth) throws MalformedJsonException {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (peek() == '}') {
            at++;
            return map;
        }
        while (true) {
            space();
            String name = string();
            space();
            expect(':');
            Object value = value(depth + 1);
            if (strict && map.containsKey(name)) {
                throw fault("'" + name + "' comes twice, the second");
            }
            map.put(name, value);
            space();
            if (peek() != ',') {
                expect('}');
                return map;
            }
            at++;
        }
    }

    private List<Object> list(int depth) throws MalformedJsonException {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (peek() == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value(depth + 1));
            space();
            if (peek() != ',') {
                expect(']');
                return list;
            }
            at++;
        }
    }

    private String string() throws MalformedJsonException {
        expect('"');
        int start = at;
        StringBuilder built = null;
        while (peek() != '"') {
            char c = text.charAt(at++);
            if (c < ' ') {
                throw fault("a bare control character");
            }
            if (c == '\\') {
                if (built == null) {
                    built = new StringBuilder(text.substring(start, at - 1));
                }
                built.append(escape());
            } else if (built != null) {
                built.append(c);
            }
        }
        at++;
        return built == null ? text.substring(start, at - 1) : built.toString();
    }

    private char escape() throws MalformedJsonException {
        char c = peek();
        at++;
        switch (c) {
            case '"', '\\', '/' -> {
                return c;
            }
            case 'b' -> {
                return '\b';
            }
            case 'f' -> {
                return '\f';
            }
            case 'n' -> {
                return '\n';
            }
            case 'r' -> {
                return '\r';
            }
            case 't' -> {
                return '\t';
            }
            case 'u' -> {
                int code = 0;
                for (int i = 0; i < 4; i++) {
                    int digit = Character.digit(peek(), 16);
                    if (digit < 0) {
                        throw fault("not four hex digits");
                    }
                    code = code * 16 + digit;
                    at++;
                }
                return (char) code;
            }
            default -> throw fault("unknown escape");
        }
    }

    private Object number() throws MalformedJsonException {
        int start = at;
        skip('-');
        int whole = at;
        digits();
        boolean plain = at - whole < 19;
        if (at - whole > 1 && text.charAt(whole) == '0') {
            throw fault("a leading zero");
        }
        if (skip('.')) {
            plain = false;
            digits();
        }
        if (skip('e') || skip('E')) {
            plain = false;
            if (!skip('+')) {
                skip('-');
            }
            digits();
        }
        String number = text.substring(start, at);
        if (plain) {
            return Long.parseLong(number);
        }
        return Double.parseDouble(number);
    }

    private boolean skip(char c) {
        boolean there = at < text.length() && text.charAt(at) == c;
        at += there ? 1 : 0;
        return there;
    }

    private void digits() throws MalformedJsonException {
        int start = at;
        while (at < text.length() && text.charAt(at) >= '0' && text.charAt(at) <= '9') {
            at++;
        }
        if (at == start) {
            throw fault("no digit");
        }
    }

    /** The text as a JSON string. */
    public static String quoted(String text) {
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
     * The values of an object by their paths, set apart by dots; the items of a list of objects go by their number,
     * a list of plain values is one value joined with commas.
     */
    public static Map<String, String> flat(Map<?, ?> object) {
        Map<String, String> flat = new LinkedHashMap<>();
        flatten("", object, flat);
        return flat;
    }

    private static void flatten(String path, Object value, Map<String, String> flat) {
        String at = path.isEmpty() ? "" : path + ".";
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, part) -> flatten(at + name, part, flat));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            for (int i = 0; i < list.size(); i++) {
                flatten(at + i, list.get(i), flat);
            }
        } else if (value instanceof List<?> list) {
            flat.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            flat.put(path, value.toString());
        }
    }
}
