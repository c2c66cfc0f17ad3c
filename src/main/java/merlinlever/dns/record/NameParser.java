package merlinlever.dns.record;

import java.util.Arrays;

/** Parses one domain name as it is written in zone files (RFC 1035 section 5.1). */
final class NameParser {

    private static final int ESCAPED_DIGITS = 3;
    private static final int MAX_OCTET = 255;

    private final String text;
    private final byte[] wire = new byte[DomainNames.MAX_BYTES + 1];
    /** Octets written, with the length octet of the label that is open. */
    private int length = 1;

    private int labelStart;
    private boolean isAbsolute;

    /**
     * An escape: a backslash and a character, or a backslash and three digits.
     *
     * @param length characters that it takes in the text
     */
    record Escape(int octet, int length) {}

    private NameParser(String text) {
        this.text = text;
    }

    /** The name on the wire; a relative one is completed with the origin, which is null where none is allowed. */
    static byte[] parse(String text, byte[] origin) throws MalformedDnsException {
        return new NameParser(text).parse(origin);
    }

    private byte[] parse(byte[] origin) throws MalformedDnsException {
        int at = 0;
        while (at < text.length()) {
            if (text.charAt(at) == '.') {
                endLabel(at);
                at++;
            } else {
                at += appendCharacter(at);
            }
            if (length > DomainNames.MAX_BYTES) {
                throw tooLong();
            }
        }
        if (text.isEmpty()) {
            throw new MalformedDnsException("an empty name");
        }
        return isAbsolute ? Arrays.copyOf(wire, length) : completed(origin);
    }

    private void endLabel(int at) throws MalformedDnsException {
        if (length - labelStart == 1) {
            throw new MalformedDnsException("an empty label in " + MalformedDnsException.excerpt(text));
        }
        closeLabel();
        labelStart = length++;
        isAbsolute = at == text.length() - 1;
    }

    private void closeLabel() {
        wire[labelStart] = (byte) (length - labelStart - 1);
    }

    /** Appends the character or escape at the offset, and returns the characters that it takes. */
    private int appendCharacter(int at) throws MalformedDnsException {
        char character = text.charAt(at);
        Escape read = character == '\\' ? escape(text, at) : new Escape(character, 1);
        if (character < '!' || character > '~') {
            throw new MalformedDnsException(
                    "a name holds only printable ASCII; write \\DDD in " + MalformedDnsException.excerpt(text));
        }
        if (length - labelStart > DomainNames.MAX_LABEL_BYTES) {
            throw new MalformedDnsException("a label over " + DomainNames.MAX_LABEL_BYTES + " octets in "
                    + MalformedDnsException.excerpt(text));
        }
        wire[length++] = (byte) DomainNames.lower(read.octet);
        return read.length;
    }

    private byte[] completed(byte[] origin) throws MalformedDnsException {
        closeLabel();
        if (origin == null) {
            throw new MalformedDnsException(
                    "the relative name " + MalformedDnsException.excerpt(text) + " without an origin");
        }
        if (length + origin.length > DomainNames.MAX_BYTES) {
            throw tooLong();
        }
        byte[] whole = Arrays.copyOf(wire, length + origin.length);
        System.arraycopy(origin, 0, whole, length, origin.length);
        return whole;
    }

    private MalformedDnsException tooLong() {
        return new MalformedDnsException(
                "a name over " + DomainNames.MAX_BYTES + " octets: " + MalformedDnsException.excerpt(text));
    }

    /** The escape whose backslash is at the offset. */
    static Escape escape(String text, int at) throws MalformedDnsException {
        if (at + 1 >= text.length()) {
            throw new MalformedDnsException("a backslash at the end of " + MalformedDnsException.excerpt(text));
        }
        char first = text.charAt(at + 1);
        if (first < '0' || first > '9') {
            return new Escape((byte) first & MAX_OCTET, 2);
        }
        int value = 0;
        for (int i = 1; i <= ESCAPED_DIGITS; i++) {
            char digit = at + i < text.length() ? text.charAt(at + i) : 'x';
            if (digit < '0' || digit > '9') {
                throw new MalformedDnsException(
                        "an escape is a backslash and three digits in " + MalformedDnsException.excerpt(text));
            }
            value = value * 10 + digit - '0';
        }
        if (value > MAX_OCTET) {
            throw new MalformedDnsException("an escape over 255 in " + MalformedDnsException.excerpt(text));
        }
        return new Escape(value, 1 + ESCAPED_DIGITS);
    }
}
