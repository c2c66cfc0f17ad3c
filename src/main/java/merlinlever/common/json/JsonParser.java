package merlinlever.common.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.json.Json.MalformedJsonException;

/** A recursive-descent parser for one JSON text. The depth is bounded, so that no text can overflow the stack. */
final class JsonParser {

    private static final int MAX_DEPTH = 32;
    /** Integers with fewer digits fit into a long. */
    private static final int MIN_DIGITS_FOR_DOUBLE = 19;

    private static final int UNICODE_ESCAPE_DIGITS = 4;

    private final String text;
    private final boolean rejectDuplicateNames;
    private int position;

    JsonParser(String text, boolean rejectDuplicateNames) {
        this.text = text;
        this.rejectDuplicateNames = rejectDuplicateNames;
    }

    /** Parses the whole text as one value. */
    Object parse() throws MalformedJsonException {
        Object value = parseValue(0);
        skipSpace();
        if (position < text.length()) {
            throw malformed("unexpected text after the value");
        }
        return value;
    }

    private MalformedJsonException malformed(String problem) {
        return new MalformedJsonException(problem + " at position " + position);
    }

    private void skipSpace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private char peek() throws MalformedJsonException {
        if (position >= text.length()) {
            throw malformed("unexpected end of the text");
        }
        return text.charAt(position);
    }

    private void expect(char expected) throws MalformedJsonException {
        if (peek() != expected) {
            throw malformed("missing '" + expected + "'");
        }
        position++;
    }

    private Object parseValue(int depth) throws MalformedJsonException {
        if (depth > MAX_DEPTH) {
            throw malformed("value is nested too deeply");
        }
        skipSpace();
        return switch (peek()) {
            case '{' -> parseObject(depth);
            case '[' -> parseList(depth);
            case '"' -> parseString();
            case 't' -> parseLiteral("true", true);
            case 'f' -> parseLiteral("false", false);
            case 'n' -> parseLiteral("null", null);
            default -> parseNumber();
        };
    }

    private Object parseLiteral(String literal, Object value) throws MalformedJsonException {
        if (!text.startsWith(literal, position)) {
            throw malformed("unknown literal");
        }
        position += literal.length();
        return value;
    }

    private Map<String, Object> parseObject(int depth) throws MalformedJsonException {
        Map<String, Object> members = new LinkedHashMap<>();
        position++;
        skipSpace();
        if (peek() == '}') {
            position++;
            return members;
        }
        while (true) {
            skipSpace();
            String name = parseString();
            skipSpace();
            expect(':');
            Object value = parseValue(depth + 1);
            if (rejectDuplicateNames && members.containsKey(name)) {
                throw malformed("duplicate name '" + name + "'");
            }
            members.put(name, value);
            skipSpace();
            if (peek() != ',') {
                expect('}');
                return members;
            }
            position++;
        }
    }

    private List<Object> parseList(int depth) throws MalformedJsonException {
        List<Object> items = new ArrayList<>();
        position++;
        skipSpace();
        if (peek() == ']') {
            position++;
            return items;
        }
        while (true) {
            items.add(parseValue(depth + 1));
            skipSpace();
            if (peek() != ',') {
                expect(']');
                return items;
            }
            position++;
        }
    }

    private String parseString() throws MalformedJsonException {
        expect('"');
        int start = position;
        // Remains null for a string without escapes, which is a substring of the text.
        StringBuilder unescaped = null;
        while (peek() != '"') {
            char c = text.charAt(position++);
            if (c < ' ') {
                throw malformed("unescaped control character");
            }
            if (c == '\\') {
                if (unescaped == null) {
                    unescaped = new StringBuilder(text.substring(start, position - 1));
                }
                unescaped.append(parseEscape());
            } else if (unescaped != null) {
                unescaped.append(c);
            }
        }
        position++;
        return unescaped == null ? text.substring(start, position - 1) : unescaped.toString();
    }

    private char parseEscape() throws MalformedJsonException {
        char c = peek();
        position++;
        return switch (c) {
            case '"', '\\', '/' -> c;
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'u' -> parseUnicodeEscape();
            default -> throw malformed("unknown escape sequence");
        };
    }

    private char parseUnicodeEscape() throws MalformedJsonException {
        int code = 0;
        for (int i = 0; i < UNICODE_ESCAPE_DIGITS; i++) {
            int digit = Character.digit(peek(), 16);
            if (digit < 0) {
                throw malformed("invalid hex digit in a Unicode escape");
            }
            code = code * 16 + digit;
            position++;
        }
        return (char) code;
    }

    private Object parseNumber() throws MalformedJsonException {
        int start = position;
        skipIf('-');
        int firstDigit = position;
        skipDigits();
        boolean isLong = position - firstDigit < MIN_DIGITS_FOR_DOUBLE;
        if (position - firstDigit > 1 && text.charAt(firstDigit) == '0') {
            throw malformed("number with a leading zero");
        }
        if (skipIf('.')) {
            isLong = false;
            skipDigits();
        }
        if (skipIf('e') || skipIf('E')) {
            isLong = false;
            if (!skipIf('+')) {
                skipIf('-');
            }
            skipDigits();
        }
        String number = text.substring(start, position);
        if (isLong) {
            return Long.parseLong(number);
        }
        return Double.parseDouble(number);
    }

    private boolean skipIf(char expected) {
        boolean matches = position < text.length() && text.charAt(position) == expected;
        if (matches) {
            position++;
        }
        return matches;
    }

    private void skipDigits() throws MalformedJsonException {
        int start = position;
        while (position < text.length() && text.charAt(position) >= '0' && text.charAt(position) <= '9') {
            position++;
        }
        if (position == start) {
            throw malformed("missing digit");
        }
    }
}
