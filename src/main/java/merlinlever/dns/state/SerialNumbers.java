package merlinlever.dns.state;

/** Serial numbers of 32 bits, which wrap (RFC 1982). */
public final class SerialNumbers {

    private SerialNumbers() {}

    /** Whether a comes after b; of two that are exactly half of all numbers apart neither does. */
    public static boolean after(long a, long b) {
        long ahead = a - b & 0xffff_ffffL;
        return ahead != 0 && ahead < 0x8000_0000L;
    }

    /** The next one; never 0, which some servers take for none. */
    public static long next(long serial) {
        long next = serial + 1 & 0xffff_ffffL;
        return next == 0 ? 1 : next;
    }
}
