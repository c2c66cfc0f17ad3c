package merlinlever.dns.record;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** Parses the data of records from text and from messages, and converts the data to text. */
public final class Rdata {

    /** Maximum size in octets of the data of a record (RFC 1035 section 3.2.1). */
    public static final int MAX_BYTES = 65_535;

    private Rdata() {}

    /**
     * Converts data in zone file syntax to its wire form.
     *
     * @param words the words of the file, including escapes and quotes
     * @param origin the origin that completes relative names, or null if relative names are not permitted
     */
    public static byte[] fromText(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        return RdataText.parse(type, words, origin);
    }

    /** Validates the data of a record in a message, and returns the data with names uncompressed and in lower case. */
    public static byte[] fromWire(int type, byte[] message, int start, int length) throws MalformedDnsException {
        if (type == RecordTypes.A || type == RecordTypes.AAAA) {
            int expected = type == RecordTypes.A ? IpAddresses.IPV4_BYTES : IpAddresses.IPV6_BYTES;
            if (length != expected) {
                throw new MalformedDnsException("address has " + length + " octets, expected " + expected);
            }
            return Arrays.copyOfRange(message, start, start + length);
        }
        List<RdataLayout.Field> fields = RdataLayout.of(type);
        if (!fields.isEmpty()) {
            return readFields(type, fields, message, start, length);
        }
        byte[] data = Arrays.copyOfRange(message, start, start + length);
        boolean hasValidStrings = type != RecordTypes.TXT || isCharacterStrings(data);
        if (!hasValidStrings || !LibraryRdata.isWellFormed(type, data)) {
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + " record is malformed");
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
                throw new MalformedDnsException("data of " + RecordTypes.text(type) + " record is truncated");
            }
            data.write(message, position, fieldLength);
            position += fieldLength;
        }
        if (position != end) {
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + " record has trailing octets");
        }
        return data.toByteArray();
    }

    /** Whether the data consists of one or more complete character strings. */
    private static boolean isCharacterStrings(byte[] data) {
        int offset = 0;
        while (offset < data.length) {
            offset += 1 + Octets.u8(data, offset);
        }
        return offset == data.length && offset > 0;
    }

    /** Returns the data in zone file syntax, for unknown types in the generic form (RFC 3597 section 5). */
    public static String text(int type, byte[] data) {
        return LibraryRdata.text(type, data).orElseGet(() -> {
            String octets = data.length == 0 ? "" : " " + HexFormat.of().formatHex(data);
            return "\\# " + data.length + octets;
        });
    }
}
