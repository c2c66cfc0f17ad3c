package merlinlever.fleet.routes;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import merlinlever.fleet.replication.VersionedEntry;

/**
 * Splits a table into chunks for replication among the backends, and assembles received chunks. The text of the table
 * is compressed and split by the maximum size of a replicated entry. A table is assembled when all chunks of one
 * version were received, and is discarded if the digest does not match. Not thread-safe.
 */
final class TableChunks {

    /** Maximum number of chunks of a table. */
    static final int MAX_CHUNKS = 256;

    private static final String TOPIC_PREFIX = "routes.";
    private static final int MAX_HEADER_BYTES = 60;
    private static final int CHUNK_BYTES = VersionedEntry.MAX_VALUE_BYTES - 64;
    private static final int BUFFER_BYTES = 8192;
    private static final Pattern HEADER = Pattern.compile("[1-9][0-9]{0,2} [0-9a-f]{32}");
    private static final Pattern TOPIC = Pattern.compile("routes\\.[0-9]{1,3}");

    /** The chunks of one version of a partner's table that were received so far. */
    private static final class IncompleteTable {
        private final long incarnation;
        private final long sequence;
        private final String header;
        private final byte[][] chunks;

        IncompleteTable(VersionedEntry first, String header, int count) {
            incarnation = first.incarnation();
            sequence = first.sequence();
            this.header = header;
            chunks = new byte[count][];
        }

        boolean isSameVersion(VersionedEntry chunk) {
            return chunk.incarnation() == incarnation && chunk.sequence() == sequence;
        }

        boolean isOlderThan(VersionedEntry chunk) {
            return chunk.incarnation() > incarnation
                    || (chunk.incarnation() == incarnation && chunk.sequence() > sequence);
        }

        boolean isComplete() {
            return Arrays.stream(chunks).allMatch(Objects::nonNull);
        }

        String digest() {
            return header.substring(header.indexOf(' ') + 1);
        }
    }

    /** The latest version of which a chunk was received, by partner. */
    private final Map<String, IncompleteTable> incompleteTables = new TreeMap<>();

    static String topic(int chunk) {
        return TOPIC_PREFIX + chunk;
    }

    /** Whether an entry is a chunk of a table. */
    static boolean isChunk(VersionedEntry entry) {
        return entry.topic().startsWith(TOPIC_PREFIX);
    }

    /**
     * Returns the chunks of a table, or an empty list if the table is too large. Each chunk starts with a header line
     * that contains the number of chunks and the digest of the table.
     */
    static List<VersionedEntry> split(RouteTable table) {
        byte[] bytes = deflate(RouteTableWriter.write(table).getBytes(StandardCharsets.UTF_8));
        int count = Math.max(1, (bytes.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
        List<VersionedEntry> chunks = new ArrayList<>();
        byte[] header = (count + " " + RouteTableWriter.digest(table) + "\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < count && count <= MAX_CHUNKS; i++) {
            int length = Math.min(CHUNK_BYTES, bytes.length - i * CHUNK_BYTES);
            byte[] value = Arrays.copyOf(header, header.length + length);
            System.arraycopy(bytes, i * CHUNK_BYTES, value, header.length, length);
            chunks.add(new VersionedEntry(table.site(), topic(i), table.incarnation(), table.sequence(), value));
        }
        return chunks;
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(bytes);
        deflater.finish();
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!deflater.finished()) {
            compressed.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return compressed.toByteArray();
    }

    /** Handles a received chunk; returns the table if the chunk was the last missing one, else null. */
    RouteTable receive(VersionedEntry chunk) {
        byte[] value = chunk.value();
        if (value == null) {
            return null;
        }
        int headerLength = headerLength(value);
        String header = new String(value, 0, headerLength, StandardCharsets.US_ASCII);
        if (!HEADER.matcher(header).matches() || !TOPIC.matcher(chunk.topic()).matches()) {
            return null;
        }
        int count = Integer.parseInt(header.substring(0, header.indexOf(' ')));
        int index = Integer.parseInt(chunk.topic().substring(TOPIC_PREFIX.length()));
        boolean isUnknownPartner = !incompleteTables.containsKey(chunk.owner());
        if (count > MAX_CHUNKS
                || index >= count
                || (isUnknownPartner && incompleteTables.size() >= RoutingTable.MAX_PARTNERS)) {
            return null;
        }
        IncompleteTable table = incompleteTables.get(chunk.owner());
        // Two different tables have the same version: assembly restarts with this table. The other table was already
        // assembled, or its chunks will be received again.
        boolean isConflicting = table != null && table.isSameVersion(chunk) && !header.equals(table.header);
        if (table == null || isConflicting || table.isOlderThan(chunk)) {
            table = new IncompleteTable(chunk, header, count);
            incompleteTables.put(chunk.owner(), table);
        } else if (!table.isSameVersion(chunk)) {
            return null;
        }
        table.chunks[index] = Arrays.copyOfRange(value, headerLength + 1, value.length);
        return table.isComplete() ? assemble(chunk.owner(), table) : null;
    }

    private static int headerLength(byte[] value) {
        int length = 0;
        while (length < value.length && length < MAX_HEADER_BYTES && value[length] != '\n') {
            length++;
        }
        return length;
    }

    private static RouteTable assemble(String site, IncompleteTable complete) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        for (byte[] chunk : complete.chunks) {
            compressed.write(chunk, 0, chunk.length);
        }
        try {
            RouteTable table =
                    RouteTableReader.read(inflate(compressed.toByteArray())).table();
            boolean matchesHeader = table.site().equals(site)
                    && table.incarnation() == complete.incarnation
                    && table.sequence() == complete.sequence
                    && RouteTableWriter.digest(table).equals(complete.digest());
            return matchesHeader ? table : null;
        } catch (DataFormatException | RouteTableReader.UnusableTableException e) {
            return null;
        }
    }

    /** Stops shortly after {@link RouteTableReader#MAX_CHARACTERS}; the reader then rejects the text. */
    private static String inflate(byte[] compressed) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            int length = inflater.inflate(buffer);
            while (length > 0 && text.size() <= RouteTableReader.MAX_CHARACTERS) {
                text.write(buffer, 0, length);
                length = inflater.inflate(buffer);
            }
            return text.toString(StandardCharsets.UTF_8);
        } finally {
            inflater.end();
        }
    }
}
