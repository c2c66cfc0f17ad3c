package merlinlever.fleet.replication;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/** Formats gossip messages for logs and timelines. */
public final class MessageFormatter {

    /** Kind of a gossip message. */
    public enum MessageKind {
        CHECKSUMS,
        VERSIONS,
        REQUEST,
        ENTRIES,
        MALFORMED
    }

    /**
     * A message in the format of a timeline.
     *
     * @param text a short description; values are shown as text and truncated
     */
    public record FormattedMessage(MessageKind kind, String text) {}

    private static final int MAX_VALUE_LENGTH = 20;

    private MessageFormatter() {}

    /** Formats an encoded message. */
    public static FormattedMessage format(byte[] body) {
        Optional<GossipMessage> decoded = GossipCodec.decode(body);
        if (decoded.isEmpty()) {
            return new FormattedMessage(MessageKind.MALFORMED, "not understood");
        }
        GossipMessage message = decoded.get();
        if (message instanceof GossipMessage.VersionList list) {
            return format(list);
        }
        if (message instanceof GossipMessage.EntryRequest request) {
            String keys = request.keys().stream().map(MessageFormatter::format).collect(Collectors.joining(", "));
            return new FormattedMessage(MessageKind.REQUEST, "give me " + keys);
        }
        if (message instanceof GossipMessage.EntryBatch batch) {
            String entries =
                    batch.entries().stream().map(aged -> format(aged.entry())).collect(Collectors.joining(", "));
            return new FormattedMessage(MessageKind.ENTRIES, entries);
        }
        return new FormattedMessage(MessageKind.CHECKSUMS, "sums of all I hold");
    }

    private static FormattedMessage format(GossipMessage.VersionList list) {
        String versions = list.versions().stream()
                .map(version -> format(version.key()) + " " + version.incarnation() + "." + version.sequence())
                .collect(Collectors.joining(", "));
        return new FormattedMessage(
                MessageKind.VERSIONS, versions.isEmpty() ? "I hold none there" : "I hold " + versions);
    }

    private static String format(EntryKey key) {
        return key.owner() + "'s " + key.topic();
    }

    private static String format(StoredEntry entry) {
        return format(entry.key()) + " " + entry.incarnation() + "." + entry.sequence() + ": " + formatValue(entry);
    }

    private static String formatValue(StoredEntry entry) {
        if (entry.isConflicted()) {
            return "claimed twice";
        }
        if (entry.isTombstone()) {
            return "taken back";
        }
        String value = new String(entry.value(), StandardCharsets.UTF_8);
        return value.length() > MAX_VALUE_LENGTH ? value.substring(0, MAX_VALUE_LENGTH) + "..." : value;
    }
}
