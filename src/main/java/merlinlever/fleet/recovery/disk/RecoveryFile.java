package merlinlever.fleet.recovery.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32C;
import merlinlever.common.storage.StateDirectory;
import merlinlever.fleet.recovery.LoadedState;
import merlinlever.fleet.recovery.PersistedState;

/**
 * The file of a {@link PersistedState} in a state directory, replaced whole ({@link StateDirectory#replace}). Its first line
 * is the CRC-32C of the rest in hexadecimal, followed by a line for the format and one for each piece. A file that cannot be
 * read is reported and ignored, and never keeps the process from starting: it can do without all that was in it.
 */
public final class RecoveryFile {

    /** The name of the file in the state directory. */
    public static final String FILE_NAME = "recovery";

    private static final String FORMAT_LINE = "merlinlever recovery 1";
    private static final int MAX_BYTES = 16 * 1024;
    private static final int FORMAT_LINE_INDEX = 0;
    private static final int OWNER_LINE_INDEX = 1;
    private static final int INCARNATIONS_LINE_INDEX = 2;
    private static final int TERM_LINE_INDEX = 3;
    private static final int NON_IDEMPOTENT_UNTIL_LINE_INDEX = 4;
    private static final int WRITTEN_AT_LINE_INDEX = 5;
    private static final int CAPACITY_LINE_INDEX = 6;
    /** The addresses of peers come last, one a line. */
    private static final int FIRST_PEER_LINE_INDEX = 7;

    private final StateDirectory directory;

    /** The file in that directory, which stays its owner's to close. */
    public RecoveryFile(StateDirectory directory) {
        this.directory = directory;
    }

    /** Reads the file; one that cannot be read or used is reported as corrupt. */
    public LoadedState read() {
        try {
            return directory.exists(FILE_NAME) ? decode(directory.read(FILE_NAME)) : LoadedState.absent();
        } catch (IOException e) {
            return LoadedState.corrupt("cannot be read: " + e.getMessage());
        }
    }

    /**
     * Replaces the file; blocks until the new one is on the disk.
     *
     * @throws IOException if it could not be written; then the file is the one before
     */
    public void write(PersistedState state) throws IOException {
        directory.replace(FILE_NAME, encode(state));
    }

    /** The bytes of the file. */
    public static byte[] encode(PersistedState state) {
        StringBuilder body = new StringBuilder(FORMAT_LINE).append('\n');
        appendLine(body, "owner", state.owner());
        appendLine(body, "incarnations", Long.toString(state.reservedIncarnation()));
        appendLine(body, "term", Long.toString(state.highestTerm()));
        appendLine(body, "keyed-until", Long.toString(state.nonIdempotentUntilUnixMs()));
        appendLine(body, "wrote-at", Long.toString(state.writtenAtUnixMs()));
        appendLine(body, "capacity", String.format(Locale.ROOT, "%.3f", state.learnedCapacity()));
        state.peerAddresses().forEach(address -> appendLine(body, "peer", address));
        return (checksum(body.toString()) + "\n" + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static void appendLine(StringBuilder body, String key, String value) {
        body.append(key).append(' ').append(value).append('\n');
    }

    private static String checksum(String body) {
        CRC32C crc = new CRC32C();
        crc.update(body.getBytes(StandardCharsets.US_ASCII));
        return String.format("%08x", crc.getValue());
    }

    /** The state in the bytes of a file. */
    public static LoadedState decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return LoadedState.corrupt("spoilt: over " + MAX_BYTES + " octets");
        }
        String text = new String(bytes, StandardCharsets.US_ASCII);
        int firstLineEnd = text.indexOf('\n');
        String body = text.substring(firstLineEnd + 1);
        if (firstLineEnd < 0 || !text.substring(0, firstLineEnd).equals(checksum(body))) {
            return LoadedState.corrupt("spoilt: its sum is not that of what it holds");
        }
        String[] lines = body.split("\n");
        if (lines.length == 0) {
            return LoadedState.corrupt("not what this program writes");
        }
        if (!lines[FORMAT_LINE_INDEX].equals(FORMAT_LINE)) {
            return LoadedState.corrupt("of another form, '" + lines[FORMAT_LINE_INDEX] + "'");
        }
        try {
            return LoadedState.of(parse(lines));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return LoadedState.corrupt("not what this program writes");
        }
    }

    private static PersistedState parse(String[] lines) {
        List<String> peerAddresses = new ArrayList<>();
        for (int i = FIRST_PEER_LINE_INDEX; i < lines.length; i++) {
            peerAddresses.add(value(lines[i], "peer"));
        }
        return new PersistedState(
                value(lines[OWNER_LINE_INDEX], "owner"),
                Long.parseLong(value(lines[INCARNATIONS_LINE_INDEX], "incarnations")),
                Long.parseLong(value(lines[TERM_LINE_INDEX], "term")),
                Long.parseLong(value(lines[NON_IDEMPOTENT_UNTIL_LINE_INDEX], "keyed-until")),
                Long.parseLong(value(lines[WRITTEN_AT_LINE_INDEX], "wrote-at")),
                Double.parseDouble(value(lines[CAPACITY_LINE_INDEX], "capacity")),
                peerAddresses);
    }

    private static String value(String line, String key) {
        if (!line.startsWith(key + " ")) {
            throw new IllegalArgumentException("no " + key + " in " + line);
        }
        return line.substring(key.length() + 1);
    }
}
