package merlinlever.routes;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import merlinlever.replication.VersionedEntry;

/**
 * A table as words that the backends share: deflated and cut where it is longer than a word may be. It is put together again only
 * when all parts of one version are there and make the table that the digest says; half a table is none.
 */
final class TableChunks {

    /** Parts of a table at the most. */
    static final int MAX_CHUNKS = 256;

    private static final int CHUNK_BYTES = VersionedEntry.MOST_OCTETS - 64;

    /** The parts of one version of a partner's, as far as they came. */
    private static final class IncompleteTable {
        final long incarnation, sequence;
        final String header;
        final byte[][] chunks;

        IncompleteTable(VersionedEntry first, String header, int count) {
            incarnation = first.incarnation();
            sequence = first.sequence();
            this.header = header;
            chunks = new byte[count][];
        }
    }

    /** One for each partner: the latest of which any part came. */
    private final Map<String, IncompleteTable> incomplete = new TreeMap<>();

    static String topic(int part) {
        return "routes." + part;
    }

    static List<VersionedEntry> split(RouteTable table) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(RouteTableWriter.write(table).getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        while (!deflater.finished()) {
            compressed.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        byte[] bytes = compressed.toByteArray();
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

    /** A part came; the table where it was the last that was missing, or null. */
    RouteTable receive(VersionedEntry chunk) {
        int headerLength = 0;
        while (chunk.value() != null && headerLength < chunk.value().length && headerLength < 60 && chunk.value()[headerLength] != '\n') {
            headerLength++;
        }
        String header = chunk.value() == null ? "" : new String(chunk.value(), 0, headerLength, StandardCharsets.US_ASCII);
        if (!header.matches("[1-9][0-9]{0,2} [0-9a-f]{32}") || !chunk.topic().matches("routes\\.[0-9]{1,3}")) {
            return null;
        }
        int count = Integer.parseInt(header.substring(0, header.indexOf(' '))),
                index = Integer.parseInt(chunk.topic().substring(7));
        if (count > MAX_CHUNKS
                || index >= count
                || !incomplete.containsKey(chunk.owner()) && incomplete.size() >= RoutingTable.MAX_PARTNERS) {
            return null;
        }
        IncompleteTable table = incomplete.get(chunk.owner());
        if (table != null
                && !header.equals(table.header)
                && chunk.incarnation() == table.incarnation
                && chunk.sequence() == table.sequence) {
            // Two under one version; it begins anew with this one, and the other was taken or will come again.
            table = null;
        }
        if (table == null
                || chunk.incarnation() > table.incarnation
                || chunk.incarnation() == table.incarnation && chunk.sequence() > table.sequence) {
            incomplete.put(chunk.owner(), table = new IncompleteTable(chunk, header, count));
        } else if (chunk.incarnation() != table.incarnation || chunk.sequence() != table.sequence) {
            return null;
        }
        table.chunks[index] = Arrays.copyOfRange(chunk.value(), headerLength + 1, chunk.value().length);
        return Arrays.stream(table.chunks).allMatch(each -> each != null) ? assemble(chunk.owner(), table) : null;
    }

    private static RouteTable assemble(String site, IncompleteTable incompleteTable) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        Arrays.stream(incompleteTable.chunks).forEach(each -> compressed.write(each, 0, each.length));
        Inflater inflater = new Inflater();
        inflater.setInput(compressed.toByteArray());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        try {
            int length = inflater.inflate(buffer);
            while (length > 0 && text.size() <= RouteTableReader.MAX_CHARACTERS) {
                text.write(buffer, 0, length);
                length = inflater.inflate(buffer);
            }
            RouteTable table =
                    RouteTableReader.read(text.toString(StandardCharsets.UTF_8)).table();
            return table.site().equals(site)
                            && table.incarnation() == incompleteTable.incarnation
                            && table.sequence() == incompleteTable.sequence
                            && RouteTableWriter.digest(table).equals(incompleteTable.header.substring(incompleteTable.header.indexOf(' ') + 1))
                    ? table
                    : null;
        } catch (DataFormatException | RouteTableReader.UnusableTableException e) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
