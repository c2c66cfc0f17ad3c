package merlinlever.dns.record;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** The data of records: from text, from messages, and to text. */
public final class Rdata {

    /** Octets of one record's data (RFC 1035 section 3.2.1). */
    public static final int MAX_BYTES = 65_535;

    private Rdata() {}

    /**
     * The wire form of data that is written as in a zone file.
     *
     * @param words as they stand in the file: with escapes, and quoted ones with their quotes
     * @param origin that completes relative names, or null
     */
    public static byte[] fromText(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        return RdataText.parse(type, words, origin);
    }

    /** The data of a record in a message, with names uncompressed and in lower case; its form is checked. */
    public static byte[] fromWire(int type, byte[] message, int start, int length) throws MalformedDnsException {
        if (type == RecordTypes.A || type == RecordTypes.AAAA) {
            int expected = type == RecordTypes.A ? IpAddresses.IPV4_BYTES : IpAddresses.IPV6_BYTES;
            if (length != expected) {
                throw new MalformedDnsException("an address of " + length + " octets");
            }
            return Arrays.copyOfRange(message, start, start + length);
        }
        List<RdataLayout.Field> fields = RdataLayout.of(type);
        if (!fields.isEmpty()) {
            return readFields(type, fields, message, start, length);
        }
        byte[] data = Arrays.copyOfRange(message, start, start + length);
        boolean stringsAreWhole = type != RecordTypes.TXT || isCharacterStrings(data);
        if (!stringsAreWhole || !LibraryRdata.isWellFormed(type, data)) {
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + " is malformed");
        }
        return data;
    }

    private static byte[] readFields(int type, List<RdataLayout.Field> fields, byte[] message, int start, int length)
            throws MalformedDnsException {
        int end = start + length;
        int position = start;
        ByteArrayOutputStream data = new ByteArrayOutputStream(length);
        for (RdataLayout.Field field : fields) {
            if (field.kind() == RdataLayout.FieldKind.DOMAIN_NAME) {
                CompressedNames.DecodedName name = CompressedNames.read(message, position, end);
                data.writeBytes(name.wire());
                position = name.end();
                continue;
            }
            int fieldLength = field.length();
            if (field.kind() == RdataLayout.FieldKind.CHARACTER_STRING) {
                fieldLength = position < end ? 1 + Octets.u8(message, position) : 1;
            }
            if (position + fieldLength > end) {
                throw new MalformedDnsException("data of " + RecordTypes.text(type) + " is cut short");
            }
            data.write(message, position, fieldLength);
            position += fieldLength;
        }
        if (position != end) {
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + " goes on behind its end");
        }
        return data.toByteArray();
    }

    /** Whether the data is one whole character string or more. */
    private static boolean isCharacterStrings(byte[] data) {
        int at = 0;
        while (at < data.length) {
            at += 1 + Octets.u8(data, at);
        }
        return at == data.length && at > 0;
    }

    /** The data as in a zone file; of an unknown form, its octets (RFC 3597 section 5). */
    public static String text(int type, byte[] data) {
        return LibraryRdata.text(type, data).orElseGet(() -> {
            String octets = data.length == 0 ? "" : " " + HexFormat.of().formatHex(data);
            return "\\# " + data.length + octets;
        });
    }
}
