package merlinlever.dns.record;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** Parses record data in zone file syntax. Common types are parsed strictly by this class, other types by dnsjava. */
final class RdataText {

    /** Marks data in the generic form, which all types permit (RFC 3597 section 5). */
    private static final String GENERIC_MARK = "\\#";

    /** Maximum size in octets of a character string without its length octet (RFC 1035 section 3.3). */
    private static final int MAX_STRING_BYTES = 255;

    private static final long MAX_U16 = 0xffff;
    private static final long MAX_U32 = 0xffff_ffffL;

    /** Number of fields of an SOA record (RFC 1035 section 3.3.13): two names, the serial and four times. */
    private static final int SOA_FIELDS = 7;

    private static final int SOA_SERIAL_FIELD = 2;

    /** Number of fields of an SRV record (RFC 2782): priority, weight, port and target. */
    private static final int SRV_FIELDS = 4;

    private RdataText() {}

    /** Converts data in zone file syntax to its wire form; see {@link Rdata#fromText}. */
    static byte[] parse(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        if (!words.isEmpty() && words.get(0).equals(GENERIC_MARK)) {
            return parseGeneric(type, words);
        }
        return switch (type) {
            case RecordTypes.A -> {
                expect(words, 1, "an address");
                yield IpAddresses.parseIpv4(words.get(0));
            }
            case RecordTypes.AAAA -> {
                expect(words, 1, "an address");
                yield IpAddresses.parseIpv6(words.get(0));
            }
            case RecordTypes.NS, RecordTypes.CNAME, RecordTypes.PTR, RecordTypes.DNAME -> {
                expect(words, 1, "a name");
                yield DomainNames.parse(words.get(0), origin);
            }
            case RecordTypes.MX -> {
                expect(words, 2, "a preference and a name");
                yield joined(u16(words.get(0)), DomainNames.parse(words.get(1), origin));
            }
            case RecordTypes.SRV -> srv(words, origin);
            case RecordTypes.SOA -> soa(words, origin);
            case RecordTypes.TXT, RecordTypes.SPF -> characterStrings(words);
            default -> {
                byte[] data = LibraryRdata.parse(type, words, origin);
                yield Rdata.fromWire(type, data, 0, data.length);
            }
        };
    }

    private static byte[] srv(List<String> words, byte[] origin) throws MalformedDnsException {
        expect(words, SRV_FIELDS, "priority, weight, port and a name");
        byte[][] fields = new byte[SRV_FIELDS][];
        int target = SRV_FIELDS - 1;
        for (int i = 0; i < target; i++) {
            fields[i] = u16(words.get(i));
        }
        fields[target] = DomainNames.parse(words.get(target), origin);
        return joined(fields);
    }

    private static byte[] soa(List<String> words, byte[] origin) throws MalformedDnsException {
        expect(words, SOA_FIELDS, "two names, serial, refresh, retry, expire and minimum");
        byte[][] fields = new byte[SOA_FIELDS][];
        for (int i = 0; i < SOA_SERIAL_FIELD; i++) {
            fields[i] = DomainNames.parse(words.get(i), origin);
        }
        fields[SOA_SERIAL_FIELD] = u32(number(words.get(SOA_SERIAL_FIELD), MAX_U32));
        for (int i = SOA_SERIAL_FIELD + 1; i < SOA_FIELDS; i++) {
            fields[i] = seconds(words.get(i));
        }
        return joined(fields);
    }

    private static void expect(List<String> words, int count, String fields) throws MalformedDnsException {
        if (words.size() != count) {
            throw new MalformedDnsException(
                    "expected " + fields + ", found " + words.size() + (words.size() == 1 ? " word" : " words"));
        }
    }

    private static byte[] joined(byte[]... fields) throws MalformedDnsException {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (byte[] field : fields) {
            data.writeBytes(field);
        }
        if (data.size() > Rdata.MAX_BYTES) {
            throw new MalformedDnsException("record data is longer than " + Rdata.MAX_BYTES + " octets");
        }
        return data.toByteArray();
    }

    private static long number(String word, long max) throws MalformedDnsException {
        long value = Digits.parse(word, max);
        if (value < 0) {
            throw new MalformedDnsException(
                    "expected a number from 0 to " + max + ", found " + MalformedDnsException.excerpt(word));
        }
        return value;
    }

    private static byte[] u16(String word) throws MalformedDnsException {
        byte[] octets = new byte[Short.BYTES];
        Octets.put16(octets, 0, (int) number(word, MAX_U16));
        return octets;
    }

    private static byte[] u32(long value) {
        byte[] octets = new byte[Integer.BYTES];
        Octets.put32(octets, 0, value);
        return octets;
    }

    private static byte[] seconds(String word) throws MalformedDnsException {
        return u32(TimeToLive.parseSeconds(word)
                .orElseThrow(() -> new MalformedDnsException("expected seconds from 0 to "
                        + ResourceRecord.MAX_TTL_SECONDS + ", found " + MalformedDnsException.excerpt(word))));
    }

    private static byte[] characterStrings(List<String> words) throws MalformedDnsException {
        if (words.isEmpty()) {
            throw new MalformedDnsException("expected at least one string");
        }
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (String word : words) {
            byte[] string = unquoted(word);
            if (string.length > MAX_STRING_BYTES) {
                throw new MalformedDnsException("character string is longer than " + MAX_STRING_BYTES + " octets");
            }
            data.write(string.length);
            data.writeBytes(string);
        }
        return joined(data.toByteArray());
    }

    private static byte[] unquoted(String word) throws MalformedDnsException {
        boolean isQuoted = word.length() >= 2 && word.charAt(0) == '"';
        int from = isQuoted ? 1 : 0;
        int to = isQuoted ? word.length() - 1 : word.length();
        byte[] octets = new byte[to - from];
        int length = 0;
        int at = from;
        while (at < to) {
            NameParser.Escape decoded =
                    word.charAt(at) == '\\' ? NameParser.escape(word, at) : new NameParser.Escape(word.charAt(at), 1);
            octets[length++] = (byte) decoded.octet();
            at += decoded.length();
        }
        return Arrays.copyOf(octets, length);
    }

    private static byte[] parseGeneric(int type, List<String> words) throws MalformedDnsException {
        long length = words.size() < 2 ? -1 : Digits.parse(words.get(1), Rdata.MAX_BYTES);
        String hex = String.join("", words.subList(Math.min(2, words.size()), words.size()));
        if (length < 0 || hex.length() != 2 * length) {
            throw new MalformedDnsException("expected \\#, a length, and that number of octets in hexadecimal; found "
                    + hex.length() + " digits");
        }
        byte[] data;
        try {
            data = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new MalformedDnsException("not a hexadecimal number: " + MalformedDnsException.excerpt(hex));
        }
        return Rdata.fromWire(type, data, 0, data.length);
    }
}
