package merlinlever.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** What a letter says, in words: for logs and drawings. */
public final class MessageFormatter {

    /** Kinds of letters. */
    public enum MessageKind {
        CHECKSUMS,
        VERSIONS,
        REQUEST,
        ENTRIES,
        MALFORMED
    }

    /** @param text in a few words; values as text, of a few letters at the most */
    public record FormattedMessage(MessageKind kind, String text) {}

    private static final int MOST = 20;

    private MessageFormatter() {}

    public static FormattedMessage format(byte[] body) {
        Object letter = GossipCodec.decode(body);
        List<String> parts = new ArrayList<>();
        if (letter instanceof GossipCodec.BucketChecksums) {
            return new FormattedMessage(MessageKind.CHECKSUMS, "sums of all I hold");
        } else if (letter instanceof GossipCodec.VersionList lines) {
            lines.versions()
                    .forEach(line -> parts.add(key(line.key()) + " " + line.incarnation() + "." + line.sequence()));
            return new FormattedMessage(
                    MessageKind.VERSIONS, parts.isEmpty() ? "I hold none there" : "I hold " + String.join(", ", parts));
        } else if (letter instanceof GossipCodec.EntryRequest want) {
            want.keys().forEach(key -> parts.add(key(key)));
            return new FormattedMessage(MessageKind.REQUEST, "give me " + String.join(", ", parts));
        } else if (letter instanceof GossipCodec.EntryBatch told) {
            told.entries().forEach(each -> parts.add(format(each.entry())));
            return new FormattedMessage(MessageKind.ENTRIES, String.join(", ", parts));
        }
        return new FormattedMessage(MessageKind.MALFORMED, "not understood");
    }

    private static String key(StoredEntry.EntryKey key) {
        return key.owner() + "'s " + key.topic();
    }

    private static String format(StoredEntry word) {
        String value = word.isConflicted()
                ? "claimed twice"
                : word.isTombstone() ? "taken back" : new String(word.value(), StandardCharsets.UTF_8);
        return key(word.key()) + " " + word.incarnation() + "." + word.sequence() + ": "
                + (value.length() > MOST ? value.substring(0, MOST) + "..." : value);
    }
}
