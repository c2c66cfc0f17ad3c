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
 * Reads partners' tables from files. An external job of the operator fetches each table from the partner and replaces
 * the file. A file that was rewritten since the last poll proves that the partner confirmed the table within a known
 * time, and renews the lease. A file that exists at the first poll may be of any age, and renews no lease until it is
 * rewritten. The wall clock is not used. Not thread-safe.
 */
public final class RouteTableFiles {

    private static final long MAX_BYTES = RouteTableReader.MAX_CHARACTERS;
    private static final String ABSENT = "absent";

    private final RoutingTable routingTable;
    private final Map<String, Path> files;
    private final Duration maxFetchTime;
    private final EventLog log;
    /** Modification time and size of each file by partner, used only to detect that a file was rewritten. */
    private final Map<String, String> lastModifications = new TreeMap<>();

    private Duration lastPollAt;

    /**
     * Creates a reader that has not read any file.
     *
     * @param files the files by partner
     * @param maxFetchTime maximum time from the job's request to the partner until the job has written the file
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
                String previous = lastModifications.put(partner, current);
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
            parsed.routeErrors().forEach(error -> log.info("route-fault partner=" + partner + " fault=" + error));
            RouteTable table = parsed.table();
            if (!table.site().equals(partner)) {
                log.info("route-file-rejected partner=" + partner + " file=" + file.getFileName()
                        + " reason=wrong-site site=" + table.site());
                return;
            }
            routingTable.offer(now, table);
            if (isRewritten) {
                // The file was written after the last poll, and the table was requested at most maxFetchTime before
                // the write.
                routingTable.renew(now, RoutingTable.Renewal.of(table, lastPollAt.minus(maxFetchTime)));
            }
        } catch (RouteTableReader.UnusableTableException e) {
            log.info("route-file-rejected partner=" + partner + " file=" + file.getFileName() + " reason="
                    + e.getMessage());
        }
    }
}
