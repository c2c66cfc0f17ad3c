package merlinlever.fleet.experiments;

import java.io.ByteArrayOutputStream;

/** Writes or reads non-negative integers of variable length: seven bits per byte, least significant group first. */
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
     * @throws IllegalArgumentException if the number exceeds the maximum or the input ends
     */
    long next(long max) {
        long number = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            if (position >= in.length) {
                throw new IllegalArgumentException("input ends within a number");
            }
            byte next = in[position];
            position++;
            number |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                if (number < 0 || number > max) {
                    throw new IllegalArgumentException("number exceeds its maximum: " + number);
                }
                return number;
            }
        }
        throw new IllegalArgumentException("number has too many bytes");
    }

    /** Returns whether all bytes have been read. */
    boolean isAtEnd() {
        return position == in.length;
    }

    /** Returns the bytes written so far. */
    byte[] toByteArray() {
        return out.toByteArray();
    }
}
