package merlinlever.dns.record;

import java.util.Arrays;

/** Decodes a domain name in a message, which may be compressed (RFC 1035 section 4.1.4). */
public final class CompressedNames {

    /** The two high bits that distinguish a pointer from a label, in its first octet. */
    private static final int POINTER_MARK = 0xc0;

    /** The bits of a pointer's first octet that hold the upper part of the offset. */
    private static final int POINTER_OFFSET_MASK = 0x3f;

    private final byte[] message;
    private final byte[] wire = new byte[DomainNames.MAX_BYTES];
    private int length;
    private int position;
    /** The offset before which the current part of the name has to end. */
    private int limit;
    /** The start of the current part of the name; a pointer has to refer to a smaller offset. */
    private int partStart;
    /** The offset after the first pointer, or -1 if no pointer was read. */
    private int continuation = -1;

    /**
     * A decoded name.
     *
     * @param wire the uncompressed name in lower case
     * @param end the offset of the first octet after the name in the message
     */
    public record DecodedName(byte[] wire, int end) {}

    private CompressedNames(byte[] message, int start, int end) {
        this.message = message;
        position = start;
        limit = end;
        partStart = start;
    }

    /**
     * Decodes the name at an offset. A pointer may only refer to an offset before the part of the name that contains
     * the pointer, which rules out cycles.
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
            throw new MalformedDnsException("domain name is truncated");
        }
    }

    private void followPointer() throws MalformedDnsException {
        requireAvailable(2);
        int target =
                (Octets.u8(message, position) & POINTER_OFFSET_MASK) << Byte.SIZE | Octets.u8(message, position + 1);
        if (target >= partStart) {
            throw new MalformedDnsException("compression pointer does not refer to an earlier offset");
        }
        continuation = continuation < 0 ? position + 2 : continuation;
        limit = partStart;
        partStart = target;
        position = target;
    }

    private void copyLabel(int labelLength) throws MalformedDnsException {
        if (labelLength > DomainNames.MAX_LABEL_BYTES) {
            throw new MalformedDnsException("label type is unknown");
        }
        requireAvailable(1 + labelLength);
        int rootLength = labelLength == 0 ? 0 : 1;
        if (length + 1 + labelLength + rootLength > DomainNames.MAX_BYTES) {
            throw new MalformedDnsException("domain name is longer than " + DomainNames.MAX_BYTES + " octets");
        }
        wire[length++] = (byte) labelLength;
        for (int i = position + 1; i <= position + labelLength; i++) {
            wire[length++] = (byte) DomainNames.toLowerCase(message[i]);
        }
        position += 1 + labelLength;
    }
}
