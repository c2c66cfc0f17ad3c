package merlinlever.dns.record;

/** Reads and writes unsigned numbers in network byte order (RFC 1035 section 2.3.2). */
public final class Octets {

    private Octets() {}

    /** Returns the 8-bit number at the offset. */
    public static int u8(byte[] octets, int offset) {
        return Byte.toUnsignedInt(octets[offset]);
    }

    /** Returns the 16-bit number at the offset. */
    public static int u16(byte[] octets, int offset) {
        return u8(octets, offset) << Byte.SIZE | u8(octets, offset + 1);
    }

    /** Returns the 32-bit number at the offset. */
    public static long u32(byte[] octets, int offset) {
        return (long) u16(octets, offset) << Short.SIZE | u16(octets, offset + Short.BYTES);
    }

    /** Writes the low 16 bits of the value at the offset. */
    public static void put16(byte[] octets, int offset, int value) {
        octets[offset] = (byte) (value >> Byte.SIZE);
        octets[offset + 1] = (byte) value;
    }

    /** Writes the low 32 bits of the value at the offset. */
    public static void put32(byte[] octets, int offset, long value) {
        put16(octets, offset, (int) (value >> Short.SIZE));
        put16(octets, offset + Short.BYTES, (int) value);
    }
}
