package merlinlever.dns.record;

/** Decimal numbers without a sign. */
final class Digits {

    private static final int MAX_DIGITS = 10;

    private Digits() {}

    /** The number from 0 to {@code max}, or -1. */
    static long parse(String word, long max) {
        if (word.isEmpty() || word.length() > MAX_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) < '0' || word.charAt(i) > '9') {
                return -1;
            }
            value = value * 10 + word.charAt(i) - '0';
        }
        return value <= max ? value : -1;
    }
}
