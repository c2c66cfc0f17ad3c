package merlinlever.dns.record;

import java.util.Arrays;

/** Parses a domain name in zone file syntax (RFC 1035 section 5.1). */
final class NameParser {

    private static final int ESCAPED_DIGITS = 3;
    private static final int MAX_OCTET = 255;

    private final String text;
    private final byte[] wire = new byte[DomainNames.MAX_BYTES + 1];
    /** The number of octets written, including the length octet of the current label. */
    private int length = 1;

    private int labelStart;
    private boolean isAbsolute;

    /**
     * An escape: a backslash and a character, or a backslash and three digits.
     *
     * @param length the number of characters of the escape in the text
     */
    record Escape(int octet, int length) {}

    private NameParser(String text) {
        this.text = text;
    }

    /** Parses a name and completes a relative name with the origin. A null origin permits only absolute names. */
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
            throw new MalformedDnsException("domain name is empty");
        }
        return isAbsolute ? Arrays.copyOf(wire, length) : completeWithOrigin(origin);
    }

    private void endLabel(int at) throws MalformedDnsException {
        if (length - labelStart == 1) {
            throw new MalformedDnsException("empty label in " + MalformedDnsException.excerpt(text));
        }
        closeLabel();
        labelStart = length++;
        isAbsolute = at == text.length() - 1;
    }

    private void closeLabel() {
        wire[labelStart] = (byte) (length - labelStart - 1);
    }

    /** Appends the character or escape at the offset, and returns its number of characters in the text. */
    private int appendCharacter(int at) throws MalformedDnsException {
        char character = text.charAt(at);
        Escape decoded = character == '\\' ? escape(text, at) : new Escape(character, 1);
        if (character < '!' || character > '~') {
            throw new MalformedDnsException(
                    "domain name has a character outside printable ASCII, which requires \\DDD: "
                            + MalformedDnsException.excerpt(text));
        }
        if (length - labelStart > DomainNames.MAX_LABEL_BYTES) {
            throw new MalformedDnsException("label is longer than " + DomainNames.MAX_LABEL_BYTES + " octets in "
                    + MalformedDnsException.excerpt(text));
        }
        wire[length++] = (byte) DomainNames.toLowerCase(decoded.octet);
        return decoded.length;
    }

    private byte[] completeWithOrigin(byte[] origin) throws MalformedDnsException {
        closeLabel();
        if (origin == null) {
            throw new MalformedDnsException("relative name " + MalformedDnsException.excerpt(text) + " has no origin");
        }
        if (length + origin.length > DomainNames.MAX_BYTES) {
            throw tooLong();
        }
        byte[] result = Arrays.copyOf(wire, length + origin.length);
        System.arraycopy(origin, 0, result, length, origin.length);
        return result;
    }

    private MalformedDnsException tooLong() {
        return new MalformedDnsException("domain name is longer than " + DomainNames.MAX_BYTES + " octets: "
                + MalformedDnsException.excerpt(text));
    }

    /** Parses the escape whose backslash is at the offset. */
    static Escape escape(String text, int at) throws MalformedDnsException {
        if (at + 1 >= text.length()) {
            throw new MalformedDnsException("incomplete escape at the end of " + MalformedDnsException.excerpt(text));
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
                        "escape has fewer than three digits in " + MalformedDnsException.excerpt(text));
            }
            value = value * 10 + digit - '0';
        }
        if (value > MAX_OCTET) {
            throw new MalformedDnsException("escape is larger than 255 in " + MalformedDnsException.excerpt(text));
        }
        return new Escape(value, 1 + ESCAPED_DIGITS);
    }
}
