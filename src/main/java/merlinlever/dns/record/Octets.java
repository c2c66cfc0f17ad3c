package merlinlever.dns.record;

/** Unsigned numbers in network byte order (RFC 1035 section 2.3.2). */
public final class Octets {

    private Octets() {}

    /** The number of 8 bits at the offset. */
    public static int u8(byte[] octets, int at) {
        return Byte.toUnsignedInt(octets[at]);
    }

    /** The number of 16 bits at the offset. */
    public static int u16(byte[] octets, int at) {
        return u8(octets, at) << Byte.SIZE | u8(octets, at + 1);
    }

    /** The number of 32 bits at the offset. */
    public static long u32(byte[] octets, int at) {
        return (long) u16(octets, at) << Short.SIZE | u16(octets, at + Short.BYTES);
    }

    /** Writes the low 16 bits of the value at the offset. */
    public static void put16(byte[] octets, int at, int value) {
        octets[at] = (byte) (value >> Byte.SIZE);
        octets[at + 1] = (byte) value;
    }

    /** Writes the low 32 bits of the value at the offset. */
    public static void put32(byte[] octets, int at, long value) {
        put16(octets, at, (int) (value >> Short.SIZE));
        put16(octets, at + Short.BYTES, (int) value);
    }
}
