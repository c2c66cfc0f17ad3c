package merlinlever.fleet.experiments;

import java.io.ByteArrayOutputStream;

/** Writes or reads non-negative integers of variable length: seven bits a byte, the lowest first. */
final class VarInts {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final byte[] in;
    private int position;

    /** Creates an empty writer. */
    VarInts() {
        in = new byte[0];
    }

    /** Creates a reader. */
    VarInts(byte[] in) {
        this.in = in;
    }

    void put(long number) {
        long rest = number;
        while (rest >>> 7 != 0) {
            out.write((int) ((rest & 0x7f) | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    /**
     * Reads the next number.
     *
     * @throws IllegalArgumentException if it is higher than the maximum, or the bytes end
     */
    long next(long max) {
        long number = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            if (position >= in.length) {
                throw new IllegalArgumentException("bytes are missing");
            }
            byte next = in[position];
            position++;
            number |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                if (number < 0 || number > max) {
                    throw new IllegalArgumentException("over its maximum: " + number);
                }
                return number;
            }
        }
        throw new IllegalArgumentException("too long");
    }

    /** Whether all bytes are read. */
    boolean isAtEnd() {
        return position == in.length;
    }

    /** All that was written. */
    byte[] toByteArray() {
        return out.toByteArray();
    }
}
