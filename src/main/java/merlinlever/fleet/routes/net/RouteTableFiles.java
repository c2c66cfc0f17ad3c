package merlinlever.fleet.routes.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.routes.RouteTable;
import merlinlever.fleet.routes.RouteTableReader;
import merlinlever.fleet.routes.RoutingTable;

/**
 * Partners' tables as files that a job of the operator replaces whenever it has fetched one from the partner. A file that was
 * rewritten since the last poll shows that the partner stood by it at most a known time before; one that was there at the first
 * poll may be of any age, and renews no lease until it is rewritten. The wall clock does not matter. Not thread-safe.
 */
public final class RouteTableFiles {

    private static final long MAX_BYTES = RouteTableReader.MAX_CHARACTERS;
    private static final String ABSENT = "absent";

    private final RoutingTable routingTable;
    private final Map<String, Path> files;
    private final Duration maxFetchTime;
    private final EventLog log;
    /** Of each file its time and size as the file system has them, which only serve to tell writes apart. */
    private final Map<String, String> lastModified = new TreeMap<>();

    private Duration lastPollAt;

    /**
     * Files that were not read yet.
     *
     * @param files by partner
     * @param maxFetchTime the job has a table in its file at most so long after it asked the partner, polls not counted
     */
    public RouteTableFiles(RoutingTable routingTable, Map<String, Path> files, Duration maxFetchTime, EventLog log) {
        this.routingTable = routingTable;
        this.files = new TreeMap<>(files);
        this.maxFetchTime = maxFetchTime;
        this.log = log;
    }

    /** Reads the files that were rewritten since the last poll. */
    public void poll(Duration now) {
        files.forEach((partner, file) -> {
            try {
                String current = modification(file);
                String previous = lastModified.put(partner, current);
                if (!current.equals(previous) && !current.equals(ABSENT)) {
                    read(now, partner, file, previous != null);
                }
            } catch (IOException e) {
                log.info("route-file-unreadable partner=" + partner + " file=" + file.getFileName() + " error="
                        + e.getClass().getSimpleName());
            }
        });
        lastPollAt = now;
    }

    private static String modification(Path file) throws IOException {
        return Files.exists(file) ? Files.getLastModifiedTime(file) + " " + Files.size(file) : ABSENT;
    }

    private void read(Duration now, String partner, Path file, boolean isRewritten) throws IOException {
        long bytes = Files.size(file);
        if (bytes > MAX_BYTES) {
            log.info("route-file-rejected partner=" + partner + " file=" + file.getFileName()
                    + " reason=too-large bytes=" + bytes + " max_bytes=" + MAX_BYTES);
            return;
        }
        try {
            RouteTableReader.ParsedTable parsed = RouteTableReader.read(Files.readString(file));
            parsed.faults().forEach(fault -> log.info("route-fault partner=" + partner + " fault=" + fault));
            RouteTable table = parsed.table();
            if (!table.site().equals(partner)) {
                log.info("route-file-rejected partner=" + partner + " file=" + file.getFileName()
                        + " reason=wrong-site site=" + table.site());
                return;
            }
            routingTable.offer(now, table);
            if (isRewritten) {
                // Written after the last poll, and asked for at most so long before it was written.
                routingTable.renew(now, RoutingTable.Renewal.of(table, lastPollAt.minus(maxFetchTime)));
            }
        } catch (RouteTableReader.UnusableTableException e) {
            log.info("route-file-rejected partner=" + partner + " file=" + file.getFileName() + " reason="
                    + e.getMessage());
        }
    }
}
