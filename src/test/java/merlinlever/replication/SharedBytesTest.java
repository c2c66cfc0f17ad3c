package merlinlever.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import merlinlever.compatibility.Fixture;
import merlinlever.replication.RegisterMessage.Kind;
import net.jqwik.api.Example;

/** What backends send each other of what they share, and the file of a voter. */
class SharedBytesTest {

    private static final StoredEntry.EntryKey KEY = new StoredEntry.EntryKey("b1", "trial/t");

    private final Fixture fixture = new Fixture("shared.txt");

    @Example
    void eachKindOfLetter() {
        Duration now = Duration.ofSeconds(10);
        StoredEntry word =
                StoredEntry.of(new VersionedEntry("b1", "trial/t", 3, 300, new byte[] {1, 2}), Duration.ofSeconds(4));
        StoredEntry gone = StoredEntry.of(new VersionedEntry("b1", "x", 3, 301, null), Duration.ofSeconds(4));
        StoredEntry clash = word.with(
                StoredEntry.of(new VersionedEntry("b1", "trial/t", 3, 300, new byte[] {1, 3}), Duration.ofSeconds(4)));
        long[] sums = new long[EntryTable.BUCKETS];
        sums[5] = word.mark();
        Map<String, byte[]> letters = Map.of(
                "sums",
                GossipCodec.sums(sums),
                "lines",
                GossipCodec.lines(1L << 5, List.of(new EntryTable.EntryVersion(KEY, 3, 300, word.mark()))),
                "words",
                GossipCodec.words(now, List.of(word, gone, clash)),
                "want",
                GossipCodec.want(List.of(KEY)));
        letters.forEach((name, bytes) -> {
            fixture.pins("letter." + name, bytes);
            fixture.pins(
                    "letter." + name + ".read",
                    MessageFormatter.of(fixture.bytes("letter." + name)).what());
        });
        assertEquals(
                6000,
                ((GossipCodec.EntryBatch) GossipCodec.read(fixture.bytes("letter.words")))
                        .words()
                        .get(0)
                        .ageMs());
    }

    @Example
    void eachKindOfMessageOnRegistersAndTheVotersFile() {
        Map<String, Kind> kinds = Map.of(
                "prepare",
                Kind.PREPARE,
                "promised",
                Kind.PROMISED,
                "accept",
                Kind.ACCEPT,
                "accepted",
                Kind.ACCEPTED,
                "refused",
                Kind.REFUSED,
                "written",
                Kind.WRITTEN,
                "known",
                Kind.KNOWN,
                "ask",
                Kind.ASK,
                "page",
                Kind.PAGE);
        assertEquals(Kind.values().length, kinds.size());
        PaxosAcceptor.RegisterState entry =
                new PaxosAcceptor.RegisterState("trial/t@1", 6, "end".getBytes(StandardCharsets.US_ASCII), true);
        kinds.forEach((name, kind) -> {
            fixture.pins("register." + name, new RegisterMessage(kind, 6, 9, "trial/t@1", List.of(entry)).octets());
            RegisterMessage read = RegisterMessage.read(fixture.bytes("register." + name));
            assertEquals(
                    List.of(kind, 6L, 9L, "trial/t@1"), List.of(read.kind(), read.term(), read.number(), read.name()));
            assertEquals("end", new String(read.entries().get(0).value(), StandardCharsets.US_ASCII));
        });
        PaxosAcceptor ballots = new PaxosAcceptor();
        ballots.accept(7, "a", new byte[] {1});
        ballots.written("trial/t@1", entry.value());
        fixture.pins("registers.file", ballots.octets());
        PaxosAcceptor read = PaxosAcceptor.parsed(fixture.bytes("registers.file"));
        assertNotNull(read);
        fixture.pins("registers.file", read.octets());
    }
}
