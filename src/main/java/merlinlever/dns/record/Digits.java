package merlinlever.dns.record;

/** Parses unsigned decimal numbers. */
final class Digits {

    private static final int MAX_DIGITS = 10;

    private Digits() {}

    /** Returns the number, or -1 if the text is not a number from 0 to {@code max}. */
    static long parse(String text, long max) {
        if (text.isEmpty() || text.length() > MAX_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
            value = value * 10 + text.charAt(i) - '0';
        }
        return value <= max ? value : -1;
    }
}
