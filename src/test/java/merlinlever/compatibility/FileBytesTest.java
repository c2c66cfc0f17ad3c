package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;
import merlinlever.host.disk.Ledger;
import merlinlever.recovery.Memory;
import merlinlever.recovery.disk.Store;
import merlinlever.routes.Relation;
import merlinlever.routes.Restrictions;
import merlinlever.routes.Route;
import merlinlever.routes.Table;
import merlinlever.routes.TableReader;
import merlinlever.routes.TableWriter;
import merlinlever.shared.Snapshot;
import merlinlever.shared.Words;
import merlinlever.shared.disk.WordsFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files in state folders, and the tables that sites publish. */
class FileBytesTest {

    private final Fixture fixture = new Fixture("files.txt");

    @TempDir
    Path folder;

    @Test
    void theRecoveryFile() {
        Memory memory = new Memory(
                "b1@10.0.0.1:7001",
                65,
                9,
                1_700_000_000_500L,
                1_700_000_000_000L,
                12.5,
                List.of("10.0.0.2:7001", "10.0.0.3:7001"));
        fixture.pins("recovery", Store.text(memory));
        assertEquals(memory, Store.parsed(fixture.bytes("recovery")).memory());
    }

    @Test
    void theFileOfOwnEntries() {
        Words.Kept kept = new Words.Kept(
                3,
                18,
                List.of(
                        new Snapshot("b1", "trial/t", 3, 17, new byte[] {1, 2, 3}),
                        new Snapshot("b1", "gone", 2, 4, null)));
        fixture.pins("entries", WordsFile.octets("b1", kept));
        Words.Kept read = WordsFile.parsed("b1", fixture.bytes("entries"));
        assertArrayEquals(WordsFile.octets("b1", kept), WordsFile.octets("b1", read));
        assertEquals(List.of(3L, 18L), List.of(read.incarnation(), read.sequence()));
    }

    @Test
    void theLedgerOfTheHost() throws Exception {
        Files.write(folder.resolve("instances"), fixture.text("instances").getBytes(StandardCharsets.UTF_8));
        Ledger.Noted noted = new Ledger.Noted(true, "tok", 4711, 99);
        try (Ledger ledger = new Ledger(folder)) {
            assertEquals(noted, ledger.of("web-1"));
            ledger.note("web-1", Ledger.Noted.NOTHING);
            ledger.note("web-1", noted);
        }
        fixture.pins("instances", Files.readAllBytes(folder.resolve("instances")));
    }

    @Test
    void theTableOfASite() throws Exception {
        Restrictions some = new Restrictions(
                new TreeSet<>(List.of("s2", "s3")), new TreeSet<>(List.of("s4")), true, 3, true, true, false);
        for (Relation relation : List.of(Relation.CUSTOMER, Relation.PEER, Relation.PROVIDER)) {
            Table table = Table.of(
                    "s1",
                    4,
                    17,
                    relation,
                    Duration.ofSeconds(30),
                    List.of(
                            new Route(
                                    "reads",
                                    "records",
                                    "10.1.0.1:7100",
                                    50,
                                    3,
                                    false,
                                    List.of("s1"),
                                    null,
                                    Restrictions.NONE),
                            new Route(
                                    "orders", "records", "10.1.0.2:7100", 5, 0, true, List.of("s1", "s2"), "s1", some),
                            new Route(
                                    "none",
                                    "records",
                                    "10.1.0.3:7100",
                                    5,
                                    0,
                                    false,
                                    List.of("s1"),
                                    null,
                                    Restrictions.UNREADABLE)));
            String name = "table." + List.of("customer", "peer", "provider").get(relation.ordinal());
            fixture.pins(name, TableWriter.text(table));
            fixture.pins(name + ".digest", TableWriter.digest(table));
            assertEquals(table, TableReader.read(fixture.text(name)).table());
        }
    }
}
