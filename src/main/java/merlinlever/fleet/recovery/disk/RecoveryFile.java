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
 * Reads and writes a {@link PersistedState} as a file in a state directory; each write replaces the whole file
 * ({@link StateDirectory#replace}). The first line of the file is the CRC-32C of the other lines in hexadecimal, the
 * second line is the format, and each further line contains one value. An unreadable or corrupt file is reported and
 * ignored, and does not prevent the process from starting.
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
    /** The addresses of peers are at the end, one per line. */
    private static final int FIRST_PEER_LINE_INDEX = 7;

    private final StateDirectory directory;

    /** Creates an accessor for the file in the directory, which the caller closes. */
    public RecoveryFile(StateDirectory directory) {
        this.directory = directory;
    }

    /** Reads the file; an unreadable or unusable file is returned as corrupt. */
    public LoadedState read() {
        try {
            return directory.exists(FILE_NAME) ? decode(directory.read(FILE_NAME)) : LoadedState.absent();
        } catch (IOException e) {
            return LoadedState.corrupt("cannot be read: " + e.getMessage());
        }
    }

    /**
     * Replaces the file and blocks until the new file is on disk.
     *
     * @throws IOException if the write failed; the previous file remains in this case
     */
    public void write(PersistedState state) throws IOException {
        directory.replace(FILE_NAME, encode(state));
    }

    /** Encodes the state as the bytes of the file. */
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

    /** Decodes the bytes of a file. */
    public static LoadedState decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return LoadedState.corrupt("corrupt: longer than " + MAX_BYTES + " bytes");
        }
        String text = new String(bytes, StandardCharsets.US_ASCII);
        int firstLineEnd = text.indexOf('\n');
        String body = text.substring(firstLineEnd + 1);
        if (firstLineEnd < 0 || !text.substring(0, firstLineEnd).equals(checksum(body))) {
            return LoadedState.corrupt("corrupt: the checksum does not match the content");
        }
        String[] lines = body.split("\n");
        if (lines.length == 0) {
            return LoadedState.corrupt("the lines of the file are malformed");
        }
        if (!lines[FORMAT_LINE_INDEX].equals(FORMAT_LINE)) {
            return LoadedState.corrupt("unsupported format '" + lines[FORMAT_LINE_INDEX] + "'");
        }
        try {
            return LoadedState.of(parse(lines));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return LoadedState.corrupt("the lines of the file are malformed");
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
            throw new IllegalArgumentException("the line '" + line + "' does not start with the key " + key);
        }
        return line.substring(key.length() + 1);
    }
}
