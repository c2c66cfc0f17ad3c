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

    private static final long MOST_OCTETS = RouteTableReader.MOST_CHARACTERS;

    private final RoutingTable routes;
    private final Map<String, Path> files;
    private final Duration fetching;
    private final Consumer<String> told;
    /** When each was written, as the file system says; for telling writes apart alone. */
    private final Map<String, String> written = new TreeMap<>();

    private Duration before;

    /** @param fetching the job has a table in its file at most so long after it asked the partner, and looks are not counted */
    public RouteTableFiles(RoutingTable routes, Map<String, Path> files, Duration fetching, Consumer<String> told) {
        this.routes = routes;
        this.files = new TreeMap<>(files);
        this.fetching = fetching;
        this.told = told;
    }

    /** Reads what was written since the last look. */
    public void look(Duration now) {
        files.forEach((site, file) -> {
            try {
                String is = Files.exists(file) ? Files.getLastModifiedTime(file) + " " + Files.size(file) : "none";
                String was = written.put(site, is);
                if (!is.equals(was) && !is.equals("none")) {
                    read(now, site, file, was != null);
                }
            } catch (IOException e) {
                told.accept(site + ": " + file.getFileName() + " cannot be read: "
                        + e.getClass().getSimpleName());
            }
        });
        before = now;
    }

    private void read(Duration now, String site, Path file, boolean anew) throws IOException {
        if (Files.size(file) > MOST_OCTETS) {
            told.accept(site + ": " + file.getFileName() + " has over " + MOST_OCTETS + " octets");
            return;
        }
        try {
            RouteTableReader.ParsedTable read = RouteTableReader.read(Files.readString(file));
            read.faults().forEach(fault -> told.accept(site + ": " + fault));
            RouteTable table = read.table();
            if (!table.site().equals(site)) {
                told.accept(site + ": " + file.getFileName() + " has a table of " + table.site());
                return;
            }
            routes.offer(now, table);
            if (anew) {
                // Written after the last look, and asked for at most so long before it was written.
                routes.stoodBy(
                        now,
                        site,
                        table.incarnation(),
                        table.sequence(),
                        RouteTableWriter.digest(table),
                        before.minus(fetching),
                        table.lease());
            }
        } catch (RouteTableReader.UnusableTableException e) {
            told.accept(site + ": " + e.getMessage());
        }
    }
}
