package merlinlever.zone.record;

/** Names in messages, with compression (RFC 1035 section 4.1.4). */
public final class Wire {

    private Wire() {}

    /**
     * Reads a name, in lower case. A pointer may only lead back before the part that it ends, so none leads round.
     *
     * @param into room for {@link Names#MOST} octets
     * @return its length in the upper half, and in the lower where the message goes on behind it
     */
    public static long name(byte[] message, int at, int end, byte[] into) throws Malformed {
        int length = 0;
        int goesOn = -1;
        int before = at;
        int limit = end;
        while (true) {
            if (at >= limit) {
                throw new Malformed("a name is cut short");
            }
            int label = message[at] & 0xff;
            if (label >= 0xc0) {
                if (at + 1 >= limit) {
                    throw new Malformed("a name is cut short");
                }
                int to = (label & 0x3f) << 8 | message[at + 1] & 0xff;
                if (to >= before) {
                    throw new Malformed("a name's pointer does not lead back");
                }
                goesOn = goesOn < 0 ? at + 2 : goesOn;
                limit = before;
                before = to;
                at = to;
                continue;
            }
            if (label > Names.MOST_LABEL) {
                throw new Malformed("a label of an unknown kind");
            }
            if (at + 1 + label > limit) {
                throw new Malformed("a name is cut short");
            }
            if (length + 1 + label + (label == 0 ? 0 : 1) > Names.MOST) {
                throw new Malformed("a name over " + Names.MOST + " octets");
            }
            into[length++] = (byte) label;
            for (int i = at + 1; i <= at + label; i++) {
                byte c = message[i];
                into[length++] = c >= 'A' && c <= 'Z' ? (byte) (c + 32) : c;
            }
            at += 1 + label;
            if (label == 0) {
                return (long) length << 32 | (goesOn < 0 ? at : goesOn);
            }
        }
    }
}
