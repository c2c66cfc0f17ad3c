package merlinlever.dns.record;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.UNKRecord;

/**
 * Record data of the types that dnsjava knows. Its parsers throw exceptions of many kinds for malformed data, so any that
 * they throw counts as malformed.
 */
final class LibraryRdata {

    private LibraryRdata() {}

    /** The wire form of data that is written as in a zone file; the caller checks it again. */
    static byte[] parse(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        if (words.isEmpty()) {
            throw new MalformedDnsException("no data for " + RecordTypes.text(type));
        }
        try {
            Name libraryOrigin = origin == null ? null : new Name(origin);
            return Record.fromString(Name.root, type, DClass.IN, 0, joined(words), libraryOrigin)
                    .rdataToWireCanonical();
        } catch (IOException | RuntimeException e) {
            // dnsjava's own words begin with the name of its parser.
            String reason =
                    e.getMessage() == null ? "malformed" : e.getMessage().replaceFirst("^.*?: ", "");
            throw new MalformedDnsException("data of " + RecordTypes.text(type) + ": " + reason);
        }
    }

    /** One line for dnsjava, which takes octets beyond ASCII only as escapes. */
    private static String joined(List<String> words) {
        StringBuilder line = new StringBuilder();
        for (String word : words) {
            for (int i = 0; i < word.length(); i++) {
                char character = word.charAt(i);
                if (character > '~') {
                    line.append('\\').append(String.format("%03d", (int) character));
                } else {
                    line.append(character);
                }
            }
            line.append(' ');
        }
        return line.toString();
    }

    /** Whether dnsjava can read the data. */
    static boolean isWellFormed(int type, byte[] data) {
        try {
            return Record.newRecord(Name.root, type, DClass.IN, 0, data.length, data) != null;
        } catch (RuntimeException e) {
            return false;
        }
    }

    /** The data as in a zone file, or empty where dnsjava does not know its form. */
    static Optional<String> text(int type, byte[] data) {
        try {
            Record known = data.length == 0 ? null : Record.newRecord(Name.root, type, DClass.IN, 0, data.length, data);
            return known == null || known instanceof UNKRecord ? Optional.empty() : Optional.of(known.rdataToString());
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }
}
