package merlinlever.dns.record;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.UNKRecord;

/**
 * Parses and formats record data with dnsjava. The parsers of dnsjava throw various unchecked exceptions, each of which
 * is treated as malformed data.
 */
final class LibraryRdata {

    private LibraryRdata() {}

    /** Converts data in zone file syntax to its wire form. The caller validates the result. */
    static byte[] parse(int type, List<String> words, byte[] origin) throws MalformedDnsException {
        if (words.isEmpty()) {
            throw new MalformedDnsException(RecordTypes.text(type) + " record has no data");
        }
        try {
            Name libraryOrigin = origin == null ? null : new Name(origin);
            return Record.fromString(Name.root, type, DClass.IN, 0, joined(words), libraryOrigin)
                    .rdataToWireCanonical();
        } catch (IOException | RuntimeException e) {
            // Removes the prefix that dnsjava adds to its messages.
            String reason =
                    e.getMessage() == null ? "malformed" : e.getMessage().replaceFirst("^.*?: ", "");
            throw new MalformedDnsException("malformed data of " + RecordTypes.text(type) + " record: " + reason);
        }
    }

    /** Joins the words to one line and escapes characters beyond ASCII, which dnsjava accepts only as escapes. */
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

    /** Whether dnsjava can parse the data. */
    static boolean isWellFormed(int type, byte[] data) {
        try {
            return Record.newRecord(Name.root, type, DClass.IN, 0, data.length, data) != null;
        } catch (RuntimeException e) {
            return false;
        }
    }

    /** Returns the data in zone file syntax, or empty if dnsjava does not support its type or cannot parse the data. */
    static Optional<String> text(int type, byte[] data) {
        try {
            Record parsed =
                    data.length == 0 ? null : Record.newRecord(Name.root, type, DClass.IN, 0, data.length, data);
            return parsed == null || parsed instanceof UNKRecord
                    ? Optional.empty()
                    : Optional.of(parsed.rdataToString());
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }
}
