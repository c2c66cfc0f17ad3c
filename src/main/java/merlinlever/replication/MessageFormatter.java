package merlinlever.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** What a letter says, in words: for logs and drawings. */
public final class MessageFormatter {

    /** Kinds of letters. */
    public enum MessageKind {
        SUMS,
        VERSIONS,
        WANT,
        WORDS,
        NOTHING
    }

    /** @param what in a few words; values as text, of a few letters at the most */
    public record FormattedMessage(MessageKind kind, String what) {}

    private static final int MOST = 20;

    private MessageFormatter() {}

    public static FormattedMessage of(byte[] body) {
        Object letter = GossipCodec.read(body);
        List<String> parts = new ArrayList<>();
        if (letter instanceof GossipCodec.BucketChecksums) {
            return new FormattedMessage(MessageKind.SUMS, "sums of all I hold");
        } else if (letter instanceof GossipCodec.VersionList lines) {
            lines.lines()
                    .forEach(line -> parts.add(key(line.key()) + " " + line.incarnation() + "." + line.sequence()));
            return new FormattedMessage(
                    MessageKind.VERSIONS, parts.isEmpty() ? "I hold none there" : "I hold " + String.join(", ", parts));
        } else if (letter instanceof GossipCodec.EntryRequest want) {
            want.keys().forEach(key -> parts.add(key(key)));
            return new FormattedMessage(MessageKind.WANT, "give me " + String.join(", ", parts));
        } else if (letter instanceof GossipCodec.EntryBatch told) {
            told.words().forEach(each -> parts.add(of(each.word())));
            return new FormattedMessage(MessageKind.WORDS, String.join(", ", parts));
        }
        return new FormattedMessage(MessageKind.NOTHING, "not understood");
    }

    private static String key(StoredEntry.EntryKey key) {
        return key.owner() + "'s " + key.topic();
    }

    private static String of(StoredEntry word) {
        String value = word.clashes()
                ? "claimed twice"
                : word.takenBack() ? "taken back" : new String(word.value(), StandardCharsets.UTF_8);
        return key(word.key()) + " " + word.incarnation() + "." + word.sequence() + ": "
                + (value.length() > MOST ? value.substring(0, MOST) + "..." : value);
    }
}
