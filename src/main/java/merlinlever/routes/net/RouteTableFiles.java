package merlinlever.routes.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.routes.RouteTable;
import merlinlever.routes.RouteTableReader;
import merlinlever.routes.RouteTableWriter;
import merlinlever.routes.RoutingTable;

/**
 * Partners' tables as files that a job of the operator replaces whenever it has asked the partner. A file that was written anew
 * since the last look shows that the partner stood by it at most the stated span before; one that was there at the first look may be
 * of any age, and gives no lease until it is written again. The Unix clock does not count.
 */
public final class RouteTableFiles {

    private static final long MAX_BYTES = RouteTableReader.MAX_CHARACTERS;

    private final RoutingTable routes;
    private final Map<String, Path> files;
    private final Duration maxFetchTime;
    private final Consumer<String> log;
    /** When each was written, as the file system says; for telling writes apart alone. */
    private final Map<String, String> lastModified = new TreeMap<>();

    private Duration lastPollAt;

    /** @param maxFetchTime the job has a table in its file at most so long after it asked the partner, and looks are not counted */
    public RouteTableFiles(RoutingTable routes, Map<String, Path> files, Duration maxFetchTime, Consumer<String> log) {
        this.routes = routes;
        this.files = new TreeMap<>(files);
        this.maxFetchTime = maxFetchTime;
        this.log = log;
    }

    /** Reads what was written since the last look. */
    public void poll(Duration now) {
        files.forEach((site, file) -> {
            try {
                String state = Files.exists(file) ? Files.getLastModifiedTime(file) + " " + Files.size(file) : "none";
                String previous = lastModified.put(site, state);
                if (!state.equals(previous) && !state.equals("none")) {
                    read(now, site, file, previous != null);
                }
            } catch (IOException e) {
                log.accept(site + ": " + file.getFileName() + " cannot be read: "
                        + e.getClass().getSimpleName());
            }
        });
        lastPollAt = now;
    }

    private void read(Duration now, String site, Path file, boolean isRewritten) throws IOException {
        if (Files.size(file) > MAX_BYTES) {
            log.accept(site + ": " + file.getFileName() + " has over " + MAX_BYTES + " octets");
            return;
        }
        try {
            RouteTableReader.ParsedTable read = RouteTableReader.read(Files.readString(file));
            read.faults().forEach(fault -> log.accept(site + ": " + fault));
            RouteTable table = read.table();
            if (!table.site().equals(site)) {
                log.accept(site + ": " + file.getFileName() + " has a table of " + table.site());
                return;
            }
            routes.offer(now, table);
            if (isRewritten) {
                // Written after the last look, and asked for at most so long before it was written.
                routes.renew(
                        now,
                        site,
                        table.incarnation(),
                        table.sequence(),
                        RouteTableWriter.digest(table),
                        lastPollAt.minus(maxFetchTime),
                        table.lease());
            }
        } catch (RouteTableReader.UnusableTableException e) {
            log.accept(site + ": " + e.getMessage());
        }
    }
}
