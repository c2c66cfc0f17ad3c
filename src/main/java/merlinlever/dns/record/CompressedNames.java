package merlinlever.dns.record;

import java.util.Arrays;

/** Decodes one domain name of a message, with compression (RFC 1035 section 4.1.4). */
public final class CompressedNames {

    /** The two high bits that mark a pointer, in the first octet of a label. */
    private static final int POINTER_MARK = 0xc0;

    /** The bits of a pointer's first octet that belong to its offset. */
    private static final int POINTER_OFFSET_MASK = 0x3f;

    private final byte[] message;
    private final byte[] wire = new byte[DomainNames.MAX_BYTES];
    private int length;
    private int position;
    /** Where the part that is being read has to end. */
    private int limit;
    /** Where the part that is being read began; a pointer leads to before it. */
    private int partStart;
    /** Where the message continues behind the first pointer, or -1 before one. */
    private int continuation = -1;

    /**
     * A decoded name.
     *
     * @param wire uncompressed, in lower case
     * @param end the offset at which the message continues
     */
    public record DecodedName(byte[] wire, int end) {}

    private CompressedNames(byte[] message, int start, int end) {
        this.message = message;
        position = start;
        limit = end;
        partStart = start;
    }

    /**
     * Decodes the name at an offset. A pointer may only lead to before the part that it ends, so there are no cycles.
     *
     * @param end the offset before which the name has to end
     */
    public static DecodedName read(byte[] message, int start, int end) throws MalformedDnsException {
        return new CompressedNames(message, start, end).decode();
    }

    private DecodedName decode() throws MalformedDnsException {
        while (true) {
            requireAvailable(1);
            int label = Octets.u8(message, position);
            if (label >= POINTER_MARK) {
                followPointer();
                continue;
            }
            copyLabel(label);
            if (label == 0) {
                return new DecodedName(Arrays.copyOf(wire, length), continuation < 0 ? position : continuation);
            }
        }
    }

    private void requireAvailable(int count) throws MalformedDnsException {
        if (position + count > limit) {
            throw new MalformedDnsException("a name is cut short");
        }
    }

    private void followPointer() throws MalformedDnsException {
        requireAvailable(2);
        int target =
                (Octets.u8(message, position) & POINTER_OFFSET_MASK) << Byte.SIZE | Octets.u8(message, position + 1);
        if (target >= partStart) {
            throw new MalformedDnsException("a name's pointer does not lead back");
        }
        continuation = continuation < 0 ? position + 2 : continuation;
        limit = partStart;
        partStart = target;
        position = target;
    }

    private void copyLabel(int labelLength) throws MalformedDnsException {
        if (labelLength > DomainNames.MAX_LABEL_BYTES) {
            throw new MalformedDnsException("a label of an unknown kind");
        }
        requireAvailable(1 + labelLength);
        int rootLength = labelLength == 0 ? 0 : 1;
        if (length + 1 + labelLength + rootLength > DomainNames.MAX_BYTES) {
            throw new MalformedDnsException("a name over " + DomainNames.MAX_BYTES + " octets");
        }
        wire[length++] = (byte) labelLength;
        for (int i = position + 1; i <= position + labelLength; i++) {
            wire[length++] = (byte) DomainNames.lower(message[i]);
        }
        position += 1 + labelLength;
    }
}
