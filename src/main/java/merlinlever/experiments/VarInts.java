package merlinlever.experiments;

import java.io.ByteArrayOutputStream;

/** Whole numbers of seven bits an octet, the lowest first, written and read; a reader refuses what is over its bound or cut off. */
final class VarInts {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final byte[] in;
    private int at;

    /** To write. */
    VarInts() {
        in = new byte[0];
    }

    /** To read. */
    VarInts(byte[] in) {
        this.in = in;
    }

    void put(long number) {
        long left = number;
        while (left >>> 7 != 0) {
            out.write((int) ((left & 0x7f) | 0x80));
            left >>>= 7;
        }
        out.write((int) left);
    }

    /** The next one, from 0 to the most. */
    long number(long most) {
        long number = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            if (at >= in.length) {
                throw new IllegalArgumentException("cut off");
            }
            byte octet = in[at++];
            number |= (long) (octet & 0x7f) << shift;
            if (octet >= 0) {
                if (number < 0 || number > most) {
                    throw new IllegalArgumentException("over its bound: " + number);
                }
                return number;
            }
        }
        throw new IllegalArgumentException("too long");
    }

    boolean over() {
        return at == in.length;
    }

    byte[] written() {
        return out.toByteArray();
    }
}
