package merlinlever.dns.record;

/** Names in messages, with compression (RFC 1035 section 4.1.4). */
public final class CompressedNames {

    private CompressedNames() {}

    /**
     * Reads a name, in lower case. A pointer may only lead back before the part that it ends, so none leads round.
     *
     * @param into room for {@link DomainNames#MOST} octets
     * @return its length in the upper half, and in the lower where the message goes on behind it
     */
    public static long name(byte[] message, int at, int end, byte[] into) throws MalformedDnsException {
        int length = 0;
        int goesOn = -1;
        int before = at;
        int limit = end;
        while (true) {
            if (at >= limit) {
                throw new MalformedDnsException("a name is cut short");
            }
            int label = message[at] & 0xff;
            if (label >= 0xc0) {
                if (at + 1 >= limit) {
                    throw new MalformedDnsException("a name is cut short");
                }
                int to = (label & 0x3f) << 8 | (message[at + 1] & 0xff);
                if (to >= before) {
                    throw new MalformedDnsException("a name's pointer does not lead back");
                }
                goesOn = goesOn < 0 ? at + 2 : goesOn;
                limit = before;
                before = to;
                at = to;
                continue;
            }
            if (label > DomainNames.MOST_LABEL) {
                throw new MalformedDnsException("a label of an unknown kind");
            }
            if (at + 1 + label > limit) {
                throw new MalformedDnsException("a name is cut short");
            }
            if (length + 1 + label + (label == 0 ? 0 : 1) > DomainNames.MOST) {
                throw new MalformedDnsException("a name over " + DomainNames.MOST + " octets");
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
