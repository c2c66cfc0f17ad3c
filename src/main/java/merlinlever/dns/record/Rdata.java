package merlinlever.dns.record;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;

/**
 * Data of records from text, from messages and back to text. The types of every day are read here, strictly; for the
 * others dnsjava knows the form, and whatever it makes is checked against the wire format once more.
 */
public final class Rdata {

    /** Octets of one record's data at the most. */
    public static final int MOST = 65_535;

    private Rdata() {}

    /** Where names lie that may come compressed or in any case: N a name, S a character string, digits octets. */
    private static String layout(int type) {
        return switch (type) {
            case RecordTypes.NS, RecordTypes.CNAME, RecordTypes.PTR, RecordTypes.DNAME, 3, 4, 7, 8, 9 -> "N";
            case RecordTypes.SOA -> "NN#";
            case RecordTypes.MX, 18, 21, 36 -> "2N";
            case 14, 17 -> "NN";
            case 26 -> "2NN";
            case RecordTypes.SRV -> "6N";
            case 35 -> "4SSSN";
            default -> null;
        };
    }

    // ---- from text

    /**
     * The wire form of record data that stands as text in a zone file.
     *
     * @param words as they stand in the file: escapes untouched, quoted ones with their quotes
     * @param origin below which relative names stand, or null
     */
    public static byte[] fromText(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        if (!words.isEmpty() && words.get(0).equals("\\#")) {
            return generic(type, words);
        }
        return switch (type) {
            case RecordTypes.A -> {
                expect(words, 1, "an address");
                yield address4(words.get(0));
            }
            case RecordTypes.AAAA -> {
                expect(words, 1, "an address");
                yield address6(words.get(0));
            }
            case RecordTypes.NS, RecordTypes.CNAME, RecordTypes.PTR, RecordTypes.DNAME -> {
                expect(words, 1, "a name");
                yield DomainNames.parse(words.get(0), origin);
            }
            case RecordTypes.MX -> {
                expect(words, 2, "a preference and a name");
                yield joined(number(words.get(0), 2, 0xffff), DomainNames.parse(words.get(1), origin));
            }
            case RecordTypes.SRV -> {
                expect(words, 4, "priority, weight, port and a name");
                yield joined(
                        number(words.get(0), 2, 0xffff),
                        number(words.get(1), 2, 0xffff),
                        number(words.get(2), 2, 0xffff),
                        DomainNames.parse(words.get(3), origin));
            }
            case RecordTypes.SOA -> {
                expect(words, 7, "two names, serial, refresh, retry, expire and minimum");
                yield joined(
                        DomainNames.parse(words.get(0), origin),
                        DomainNames.parse(words.get(1), origin),
                        number(words.get(2), 4, 0xffff_ffffL),
                        span(words.get(3)),
                        span(words.get(4)),
                        span(words.get(5)),
                        span(words.get(6)));
            }
            case RecordTypes.TXT, 99 -> strings(words);
            default -> byLibrary(type, words, origin);
        };
    }

    private static void expect(List<String> words, int count, String what) throws MalformedDnsException {
        if (words.size() != count) {
            throw new MalformedDnsException(
                    "expected " + what + ", found " + words.size() + (words.size() == 1 ? " word" : " words"));
        }
    }

    private static byte[] joined(byte[]... parts) throws MalformedDnsException {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        if (length > MOST) {
            throw new MalformedDnsException("data over " + MOST + " octets");
        }
        byte[] whole = new byte[length];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, at, part.length);
            at += part.length;
        }
        return whole;
    }

    private static byte[] octets(long value, int count) {
        byte[] octets = new byte[count];
        for (int i = count - 1; i >= 0; i--, value >>>= 8) {
            octets[i] = (byte) value;
        }
        return octets;
    }

    private static byte[] number(String word, int count, long most) throws MalformedDnsException {
        long value = digits(word, most);
        if (value < 0) {
            throw new MalformedDnsException("expected a number from 0 to " + most + ", found " + shortened(word));
        }
        return octets(value, count);
    }

    private static long digits(String word, long most) {
        if (word.isEmpty() || word.length() > 10) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) < '0' || word.charAt(i) > '9') {
                return -1;
            }
            value = value * 10 + word.charAt(i) - '0';
        }
        return value <= most ? value : -1;
    }

    /** Seconds from digits, or from parts such as 1w2d3h4m5s; -1 where it is no such thing or over 2^31 - 1. */
    public static long seconds(String word) {
        long plain = digits(word, ResourceRecord.MOST_TTL);
        if (plain >= 0) {
            return plain;
        }
        long sum = 0;
        int start = 0;
        for (int i = 0; i < word.length(); i++) {
            int unit = "smhdw".indexOf(Character.toLowerCase(word.charAt(i)));
            if (unit >= 0) {
                long part = digits(word.substring(start, i), ResourceRecord.MOST_TTL);
                if (part < 0) {
                    return -1;
                }
                sum += part * new int[] {1, 60, 3600, 86_400, 604_800}[unit];
                start = i + 1;
            }
        }
        return start == word.length() && start > 0 && sum <= ResourceRecord.MOST_TTL ? sum : -1;
    }

    private static byte[] span(String word) throws MalformedDnsException {
        long seconds = seconds(word);
        if (seconds < 0) {
            throw new MalformedDnsException(
                    "expected seconds from 0 to " + ResourceRecord.MOST_TTL + ", found " + shortened(word));
        }
        return octets(seconds, 4);
    }

    /** Strict: four numbers without leading zeros. */
    public static byte[] address4(String word) throws MalformedDnsException {
        byte[] address = new byte[4];
        int part = 0;
        int start = 0;
        for (int i = 0; i <= word.length(); i++) {
            if (i == word.length() || word.charAt(i) == '.') {
                long value = i - start > 3 || (i - start > 1 && word.charAt(start) == '0')
                        ? -1
                        : digits(word.substring(start, i), 255);
                if (value < 0 || part == 4) {
                    throw new MalformedDnsException("no IPv4 address: " + shortened(word));
                }
                address[part++] = (byte) value;
                start = i + 1;
            }
        }
        if (part != 4) {
            throw new MalformedDnsException("no IPv4 address: " + shortened(word));
        }
        return address;
    }

    /** RFC 4291 section 2.2. */
    public static byte[] address6(String word) throws MalformedDnsException {
        MalformedDnsException fault = new MalformedDnsException("no IPv6 address: " + shortened(word));
        byte[] address = new byte[16];
        int at = 0;
        int gap = -1;
        int i = 0;
        if (word.startsWith("::")) {
            gap = 0;
            i = 2;
        }
        while (i < word.length()) {
            int end = word.indexOf(':', i);
            end = end < 0 ? word.length() : end;
            String part = word.substring(i, end);
            if (part.indexOf('.') >= 0 && end == word.length()) {
                if (at > 12) {
                    throw fault;
                }
                System.arraycopy(address4(part), 0, address, at, 4);
                at += 4;
                break;
            }
            if (part.isEmpty() || part.length() > 4 || at == 16) {
                throw fault;
            }
            int value = 0;
            for (int k = 0; k < part.length(); k++) {
                int digit = part.charAt(k) < 128 ? Character.digit(part.charAt(k), 16) : -1;
                if (digit < 0) {
                    throw fault;
                }
                value = value * 16 + digit;
            }
            address[at++] = (byte) (value >> 8);
            address[at++] = (byte) value;
            i = end + 1;
            if (end < word.length() && i == word.length()) {
                throw fault;
            }
            if (i < word.length() && word.charAt(i) == ':') {
                if (gap >= 0) {
                    throw fault;
                }
                gap = at;
                i++;
            }
        }
        if (gap >= 0 ? at > 14 : at != 16) {
            throw fault;
        }
        if (gap >= 0) {
            int moved = at - gap;
            System.arraycopy(address, gap, address, 16 - moved, moved);
            Arrays.fill(address, gap, 16 - moved, (byte) 0);
        }
        return address;
    }

    private static byte[] strings(List<String> words) throws MalformedDnsException {
        if (words.isEmpty()) {
            throw new MalformedDnsException("expected at least one string");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String word : words) {
            byte[] string = unquoted(word);
            if (string.length > 255) {
                throw new MalformedDnsException("a string over 255 octets");
            }
            out.write(string.length);
            out.writeBytes(string);
        }
        return joined(out.toByteArray());
    }

    private static byte[] unquoted(String word) throws MalformedDnsException {
        int from = 0;
        int to = word.length();
        if (to >= 2 && word.charAt(0) == '"') {
            from = 1;
            to--;
        }
        byte[] octets = new byte[to - from];
        int length = 0;
        for (int i = from; i < to; i++) {
            int c = word.charAt(i);
            if (c == '\\') {
                int taken = DomainNames.escaped(word, i);
                c = taken & 0xff;
                i += taken >> 8;
            }
            octets[length++] = (byte) c;
        }
        return Arrays.copyOf(octets, length);
    }

    /** RFC 3597 section 5. */
    private static byte[] generic(int type, List<String> words) throws MalformedDnsException {
        long length = words.size() < 2 ? -1 : digits(words.get(1), MOST);
        StringBuilder hex = new StringBuilder();
        words.stream().skip(2).forEach(hex::append);
        if (length < 0 || hex.length() != 2 * length) {
            throw new MalformedDnsException(
                    "\\# wants a length and as many octets in hex, found " + hex.length() + " digits");
        }
        byte[] data = new byte[(int) length];
        for (int i = 0; i < data.length; i++) {
            int high = digit(hex.charAt(2 * i));
            int low = digit(hex.charAt(2 * i + 1));
            if (high < 0 || low < 0) {
                throw new MalformedDnsException("not hex: " + shortened(hex.toString()));
            }
            data[i] = (byte) (high << 4 | low);
        }
        return fromWire(type, data, 0, data.length);
    }

    private static int digit(char c) {
        return c < 128 ? Character.digit(c, 16) : -1;
    }

    private static byte[] byLibrary(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        if (words.isEmpty()) {
            throw new MalformedDnsException("no data for " + RecordTypes.text(type));
        }
        StringBuilder line = new StringBuilder();
        for (String word : words) {
            for (int i = 0; i < word.length(); i++) {
                char c = word.charAt(i);
                if (c > '~') {
                    line.append('\\').append(String.format("%03d", (int) c));
                } else {
                    line.append(c);
                }
            }
            line.append(' ');
        }
        try {
            Name below = origin == null ? null : new Name(origin);
            byte[] data = Record.fromString(Name.root, type, DClass.IN, 0, line.toString(), below)
                    .rdataToWireCanonical();
            return fromWire(type, data, 0, data.length);
        } catch (java.io.IOException | RuntimeException e) {
            // Unknown types come here too, whose data has the one form above; dnsjava's own words name its parser.
            String said = e.getMessage() == null ? "malformed" : e.getMessage().replaceFirst("^.*?: ", "");
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + ": " + said);
        }
    }

    // ---- from a message

    /** The data of a record in a message: names whole and in lower case, and the form of its type seen to. */
    public static byte[] fromWire(int type, byte[] message, int at, int length) throws MalformedDnsException {
        String layout = layout(type);
        int end = at + length;
        if (type == RecordTypes.A || type == RecordTypes.AAAA) {
            if (length != (type == RecordTypes.A ? 4 : 16)) {
                throw new MalformedDnsException("an address of " + length + " octets");
            }
            return Arrays.copyOfRange(message, at, end);
        }
        if (layout == null) {
            byte[] data = Arrays.copyOfRange(message, at, end);
            try {
                if ((type == RecordTypes.TXT && !wholeStrings(data))
                        || Record.newRecord(Name.root, type, DClass.IN, 0, length, data) == null) {
                    throw new MalformedDnsException("data of " + RecordTypes.text(type) + " is malformed");
                }
            } catch (RuntimeException e) {
                throw new MalformedDnsException("data of " + RecordTypes.text(type) + " is malformed");
            }
            return data;
        }
        byte[] out = new byte[length + 2 * DomainNames.MOST];
        int to = 0;
        for (int i = 0; i < layout.length(); i++) {
            char part = layout.charAt(i);
            int taken;
            if (part == 'N') {
                byte[] name = new byte[DomainNames.MOST];
                long read = CompressedNames.name(message, at, end, name);
                int size = (int) (read >>> 32);
                System.arraycopy(name, 0, out, to, size);
                to += size;
                at = (int) read;
                continue;
            } else if (part == 'S') {
                taken = at < end ? 1 + (message[at] & 0xff) : 1;
            } else {
                taken = part == '#' ? 20 : part - '0';
            }
            if (at + taken > end) {
                throw new MalformedDnsException("data of " + RecordTypes.text(type) + " is cut short");
            }
            System.arraycopy(message, at, out, to, taken);
            to += taken;
            at += taken;
        }
        if (at != end) {
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + " goes on behind its end");
        }
        return Arrays.copyOf(out, to);
    }

    private static boolean wholeStrings(byte[] data) {
        int at = 0;
        while (at < data.length) {
            at += 1 + (data[at] & 0xff);
        }
        return at == data.length && at > 0;
    }

    /** As in a zone file. */
    public static String text(int type, byte[] data) {
        try {
            if (data.length > 0) {
                Record record = Record.newRecord(Name.root, type, DClass.IN, 0, data.length, data);
                if (record != null && !(record instanceof org.xbill.DNS.UNKRecord)) {
                    return record.rdataToString();
                }
            }
        } catch (RuntimeException e) {
            // Then as octets.
        }
        StringBuilder hex = new StringBuilder("\\# ").append(data.length);
        for (int i = 0; i < data.length; i++) {
            hex.append(i == 0 ? " " : "")
                    .append(Character.forDigit(data[i] >> 4 & 15, 16))
                    .append(Character.forDigit(data[i] & 15, 16));
        }
        return hex.toString();
    }

    private static String shortened(String text) {
        return text.length() > 40 ? text.substring(0, 40) + "..." : text;
    }
}
