package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.VersionedEntry;
import merlinlever.fleet.replication.disk.EntryFile;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteTable;
import merlinlever.fleet.routes.RouteTableReader;
import merlinlever.fleet.routes.RouteTableWriter;
import merlinlever.host.disk.InstanceLedger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compatibility with version 0.2 of the files in state directories and of the route tables that sites publish. */
class FileBytesTest {

    private final Fixture fixture = new Fixture("files.txt");

    @TempDir
    Path folder;

    @Test
    void recoveryFileMatches() {
        PersistedState state = new PersistedState(
                "b1@10.0.0.1:7001",
                65,
                9,
                1_700_000_000_500L,
                1_700_000_000_000L,
                12.5,
                List.of("10.0.0.2:7001", "10.0.0.3:7001"));
        fixture.assertMatches("recovery", RecoveryFile.encode(state));
        assertEquals(
                Optional.of(state),
                RecoveryFile.decode(fixture.bytes("recovery")).state());
    }

    @Test
    void entryFileMatches() {
        ReplicatedStore.PersistedEntries entries = new ReplicatedStore.PersistedEntries(
                3,
                18,
                List.of(
                        new VersionedEntry("b1", "trial/t", 3, 17, new byte[] {1, 2, 3}),
                        new VersionedEntry("b1", "gone", 2, 4, null)));
        fixture.assertMatches("entries", EntryFile.encode("b1", entries));
        ReplicatedStore.PersistedEntries decoded =
                EntryFile.decode("b1", fixture.bytes("entries")).orElseThrow();
        assertArrayEquals(EntryFile.encode("b1", entries), EntryFile.encode("b1", decoded));
        assertEquals(List.of(3L, 18L), List.of(decoded.incarnation(), decoded.sequence()));
    }

    @Test
    void instanceLedgerMatches() throws Exception {
        Files.write(folder.resolve("instances"), fixture.text("instances").getBytes(StandardCharsets.UTF_8));
        InstanceLedger.InstanceRecord instanceRecord = new InstanceLedger.InstanceRecord(true, "tok", 4711, 99);
        try (InstanceLedger ledger = new InstanceLedger(folder)) {
            assertEquals(instanceRecord, ledger.recordOf("web-1"));
            ledger.update("web-1", InstanceLedger.InstanceRecord.NONE);
            ledger.update("web-1", instanceRecord);
        }
        fixture.assertMatches("instances", Files.readAllBytes(folder.resolve("instances")));
    }

    @Test
    void routeTablesMatch() throws Exception {
        Restrictions restrictions = new Restrictions(
                new TreeSet<>(List.of("s2", "s3")), new TreeSet<>(List.of("s4")), true, 3, true, true, false);
        for (Relation relation : List.of(Relation.CUSTOMER, Relation.PEER, Relation.PROVIDER)) {
            RouteTable table = RouteTable.of(
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
                                    "orders",
                                    "records",
                                    "10.1.0.2:7100",
                                    5,
                                    0,
                                    true,
                                    List.of("s1", "s2"),
                                    "s1",
                                    restrictions),
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
            fixture.assertMatches(name, RouteTableWriter.write(table));
            fixture.assertMatches(name + ".digest", RouteTableWriter.digest(table));
            assertEquals(table, RouteTableReader.read(fixture.text(name)).table());
        }
    }
}
