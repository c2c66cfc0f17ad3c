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
    static final int MOST = 256;

    private static final int OCTETS = VersionedEntry.MAX_VALUE_BYTES - 64;

    /** The parts of one version of a partner's, as far as they came. */
    private static final class IncompleteTable {
        final long incarnation, sequence;
        final String head;
        final byte[][] parts;

        IncompleteTable(VersionedEntry first, String head, int count) {
            incarnation = first.incarnation();
            sequence = first.sequence();
            this.head = head;
            parts = new byte[count][];
        }
    }

    /** One for each partner: the latest of which any part came. */
    private final Map<String, IncompleteTable> coming = new TreeMap<>();

    static String topic(int part) {
        return "routes." + part;
    }

    static List<VersionedEntry> cut(RouteTable table) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(RouteTableWriter.text(table).getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] some = new byte[8192];
        while (!deflater.finished()) {
            all.write(some, 0, deflater.deflate(some));
        }
        deflater.end();
        byte[] octets = all.toByteArray();
        int count = Math.max(1, (octets.length + OCTETS - 1) / OCTETS);
        List<VersionedEntry> parts = new ArrayList<>();
        byte[] head = (count + " " + RouteTableWriter.digest(table) + "\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < count && count <= MOST; i++) {
            int length = Math.min(OCTETS, octets.length - i * OCTETS);
            byte[] value = Arrays.copyOf(head, head.length + length);
            System.arraycopy(octets, i * OCTETS, value, head.length, length);
            parts.add(new VersionedEntry(table.site(), topic(i), table.incarnation(), table.sequence(), value));
        }
        return parts;
    }

    /** A part came; the table where it was the last that was missing, or null. */
    RouteTable came(VersionedEntry part) {
        int line = 0;
        while (part.value() != null && line < part.value().length && line < 60 && part.value()[line] != '\n') {
            line++;
        }
        String head = part.value() == null ? "" : new String(part.value(), 0, line, StandardCharsets.US_ASCII);
        if (!head.matches("[1-9][0-9]{0,2} [0-9a-f]{32}") || !part.topic().matches("routes\\.[0-9]{1,3}")) {
            return null;
        }
        int count = Integer.parseInt(head.substring(0, head.indexOf(' '))),
                which = Integer.parseInt(part.topic().substring(7));
        if (count > MOST
                || which >= count
                || (!coming.containsKey(part.owner()) && coming.size() >= RoutingTable.MOST_PARTNERS)) {
            return null;
        }
        IncompleteTable its = coming.get(part.owner());
        if (its != null
                && !head.equals(its.head)
                && part.incarnation() == its.incarnation
                && part.sequence() == its.sequence) {
            // Two under one version; it begins anew with this one, and the other was taken or will come again.
            its = null;
        }
        if (its == null
                || part.incarnation() > its.incarnation
                || (part.incarnation() == its.incarnation && part.sequence() > its.sequence)) {
            coming.put(part.owner(), its = new IncompleteTable(part, head, count));
        } else if (part.incarnation() != its.incarnation || part.sequence() != its.sequence) {
            return null;
        }
        its.parts[which] = Arrays.copyOfRange(part.value(), line + 1, part.value().length);
        return Arrays.stream(its.parts).allMatch(each -> each != null) ? whole(part.owner(), its) : null;
    }

    private static RouteTable whole(String site, IncompleteTable its) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(its.parts).forEach(each -> all.write(each, 0, each.length));
        Inflater inflater = new Inflater();
        inflater.setInput(all.toByteArray());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        byte[] some = new byte[8192];
        try {
            int got = inflater.inflate(some);
            while (got > 0 && text.size() <= RouteTableReader.MOST_CHARACTERS) {
                text.write(some, 0, got);
                got = inflater.inflate(some);
            }
            RouteTable table =
                    RouteTableReader.read(text.toString(StandardCharsets.UTF_8)).table();
            return table.site().equals(site)
                            && table.incarnation() == its.incarnation
                            && table.sequence() == its.sequence
                            && RouteTableWriter.digest(table).equals(its.head.substring(its.head.indexOf(' ') + 1))
                    ? table
                    : null;
        } catch (DataFormatException | RouteTableReader.UnusableTableException e) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
