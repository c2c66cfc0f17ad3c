package merlinlever.dns.record;

import java.util.Arrays;
import java.util.regex.Pattern;

/** Parses IP addresses strictly and without name lookups. */
public final class IpAddresses {

    static final int IPV4_BYTES = 4;
    static final int IPV6_BYTES = 16;

    private static final int IPV6_GROUP_BYTES = 2;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;
    private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");

    private IpAddresses() {}

    /** Parses an IPv4 address of four decimal numbers without leading zeros. */
    public static byte[] parseIpv4(String text) throws MalformedDnsException {
        String[] parts = text.split("\\.", -1);
        byte[] address = new byte[IPV4_BYTES];
        if (parts.length != address.length) {
            throw notIpv4(text);
        }
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            boolean hasExtraDigits = part.length() > MAX_OCTET_DIGITS || (part.length() > 1 && part.charAt(0) == '0');
            long value = hasExtraDigits ? -1 : Digits.parse(part, MAX_OCTET);
            if (value < 0) {
                throw notIpv4(text);
            }
            address[i] = (byte) value;
        }
        return address;
    }

    private static MalformedDnsException notIpv4(String text) {
        return new MalformedDnsException("not an IPv4 address: " + MalformedDnsException.excerpt(text));
    }

    /** Parses an IPv6 address in one of the forms of RFC 4291 section 2.2. */
    public static byte[] parseIpv6(String text) throws MalformedDnsException {
        return new Ipv6Parser(text).parse();
    }

    private static final class Ipv6Parser {
        private final String text;
        private final byte[] address = new byte[IPV6_BYTES];
        private int length;
        private int position;
        /** The number of octets before {@code ::}, or -1 if the address has no {@code ::}. */
        private int compressedAt = -1;

        Ipv6Parser(String text) {
            this.text = text;
        }

        byte[] parse() throws MalformedDnsException {
            if (text.startsWith("::")) {
                compressedAt = 0;
                position = 2;
            }
            while (position < text.length()) {
                readGroup();
            }
            return expanded();
        }

        private void readGroup() throws MalformedDnsException {
            int colon = text.indexOf(':', position);
            boolean isLast = colon < 0;
            int end = isLast ? text.length() : colon;
            String group = text.substring(position, end);
            if (isLast && group.indexOf('.') >= 0) {
                appendIpv4(group);
            } else {
                appendGroup(group);
            }
            position = end;
            if (!isLast) {
                readSeparator();
            }
        }

        private void appendIpv4(String group) throws MalformedDnsException {
            if (length + IPV4_BYTES > IPV6_BYTES) {
                throw notIpv6();
            }
            System.arraycopy(parseIpv4(group), 0, address, length, IPV4_BYTES);
            length += IPV4_BYTES;
        }

        private void appendGroup(String group) throws MalformedDnsException {
            if (length == IPV6_BYTES || !IPV6_GROUP.matcher(group).matches()) {
                throw notIpv6();
            }
            Octets.put16(address, length, Integer.parseInt(group, 16));
            length += IPV6_GROUP_BYTES;
        }

        private void readSeparator() throws MalformedDnsException {
            position++;
            if (position == text.length()) {
                throw notIpv6();
            }
            if (text.charAt(position) == ':') {
                if (compressedAt >= 0) {
                    throw notIpv6();
                }
                compressedAt = length;
                position++;
            }
        }

        private byte[] expanded() throws MalformedDnsException {
            boolean isCompressed = compressedAt >= 0;
            if (isCompressed ? length > IPV6_BYTES - IPV6_GROUP_BYTES : length != IPV6_BYTES) {
                throw notIpv6();
            }
            if (isCompressed) {
                int suffixLength = length - compressedAt;
                System.arraycopy(address, compressedAt, address, IPV6_BYTES - suffixLength, suffixLength);
                Arrays.fill(address, compressedAt, IPV6_BYTES - suffixLength, (byte) 0);
            }
            return address;
        }

        private MalformedDnsException notIpv6() {
            return new MalformedDnsException("not an IPv6 address: " + MalformedDnsException.excerpt(text));
        }
    }
}
