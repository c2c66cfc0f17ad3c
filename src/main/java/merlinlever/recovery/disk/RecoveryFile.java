package merlinlever.recovery.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32C;
import merlinlever.recovery.PersistedState;
import merlinlever.storage.StateDirectory;

/**
 * One file in a state folder, replaced whole ({@link StateDirectory#replace}): the CRC-32C of the rest, then a line for each
 * piece. What cannot be read is told and thrown away, never a reason not to start: all that it said can be done without.
 */
public final class RecoveryFile {

    /** What was found: a memory, or why there is none; both null where the folder holds nothing. */
    public record LoadResult(PersistedState state, String corruption) {}

    public static final String FILE_NAME = "recovery";
    private static final String HEADER = "merlinlever recovery 1";
    private static final int MAX_BYTES = 16 * 1024;

    private final StateDirectory folder;

    public RecoveryFile(StateDirectory folder) {
        this.folder = folder;
    }

    public LoadResult read() {
        try {
            return folder.exists(FILE_NAME) ? decode(folder.read(FILE_NAME)) : new LoadResult(null, null);
        } catch (IOException e) {
            return new LoadResult(null, "cannot be read: " + e.getMessage());
        }
    }

    /** Returns when it is on the disk; after a failure the one before stands. */
    public void write(PersistedState memory) throws IOException {
        folder.replace(FILE_NAME, encode(memory));
    }

    /** The octets of the file. */
    public static byte[] encode(PersistedState memory) {
        StringBuilder rest = new StringBuilder(HEADER)
                .append("\nowner ")
                .append(memory.owner())
                .append("\nincarnations ")
                .append(memory.reservedIncarnation())
                .append("\nterm ")
                .append(memory.highestTerm())
                .append("\nkeyed-until ")
                .append(memory.nonIdempotentUntilUnixMs())
                .append("\nwrote-at ")
                .append(memory.writtenAtUnixMs())
                .append("\ncapacity ")
                .append(String.format(Locale.ROOT, "%.3f", memory.learnedCapacity()))
                .append('\n');
        memory.peerAddresses().forEach(peer -> rest.append("peer ").append(peer).append('\n'));
        return (sum(rest.toString()) + "\n" + rest).getBytes(StandardCharsets.US_ASCII);
    }

    private static String sum(String rest) {
        CRC32C crc = new CRC32C();
        crc.update(rest.getBytes(StandardCharsets.US_ASCII));
        return String.format("%08x", crc.getValue());
    }

    /** Of the octets of a file. */
    public static LoadResult decode(byte[] octets) {
        if (octets.length > MAX_BYTES) {
            return new LoadResult(null, "spoilt: over " + MAX_BYTES + " octets");
        }
        String text = new String(octets, StandardCharsets.US_ASCII);
        int end = text.indexOf('\n');
        String rest = text.substring(end + 1);
        if (end < 0 || !text.substring(0, end).equals(sum(rest))) {
            return new LoadResult(null, "spoilt: its sum is not that of what it holds");
        }
        String[] lines = rest.split("\n");
        try {
            if (!lines[0].equals(HEADER)) {
                return new LoadResult(null, "of another form, '" + lines[0] + "'");
            }
            List<String> peers = new ArrayList<>();
            for (int i = 7; i < lines.length; i++) {
                peers.add(value(lines[i], "peer"));
            }
            return new LoadResult(
                    new PersistedState(
                            value(lines[1], "owner"),
                            Long.parseLong(value(lines[2], "incarnations")),
                            Long.parseLong(value(lines[3], "term")),
                            Long.parseLong(value(lines[4], "keyed-until")),
                            Long.parseLong(value(lines[5], "wrote-at")),
                            Double.parseDouble(value(lines[6], "capacity")),
                            peers),
                    null);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return new LoadResult(null, "not what this program writes");
        }
    }

    private static String value(String line, String name) {
        if (!line.startsWith(name + " ")) {
            throw new IllegalArgumentException(name);
        }
        return line.substring(name.length() + 1);
    }
}
