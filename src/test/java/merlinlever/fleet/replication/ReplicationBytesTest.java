package merlinlever.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import merlinlever.compatibility.Fixture;
import merlinlever.fleet.replication.RegisterMessage.Kind;
import org.junit.jupiter.api.Test;

/** Replication messages and a voter's state file keep the encoding of earlier versions. */
class ReplicationBytesTest {

    private static final StoredEntry.EntryKey KEY = new StoredEntry.EntryKey("b1", "trial/t");

    private final Fixture fixture = new Fixture("shared.txt");

    @Test
    void gossipMessages() {
        Duration now = Duration.ofSeconds(10);
        StoredEntry entry =
                StoredEntry.of(new VersionedEntry("b1", "trial/t", 3, 300, new byte[] {1, 2}), Duration.ofSeconds(4));
        StoredEntry tombstone = StoredEntry.of(new VersionedEntry("b1", "x", 3, 301, null), Duration.ofSeconds(4));
        StoredEntry conflict = entry.mergedWith(
                StoredEntry.of(new VersionedEntry("b1", "trial/t", 3, 300, new byte[] {1, 3}), Duration.ofSeconds(4)));
        long[] checksums = new long[EntryTable.BUCKET_COUNT];
        checksums[5] = entry.fingerprint();
        Map<String, byte[]> messages = Map.of(
                "sums",
                GossipCodec.encodeChecksums(checksums),
                "lines",
                GossipCodec.encodeVersions(
                        1L << 5, List.of(new EntryTable.EntryVersion(KEY, 3, 300, entry.fingerprint()))),
                "words",
                GossipCodec.encodeEntries(now, List.of(entry, tombstone, conflict)),
                "want",
                GossipCodec.encodeRequest(List.of(KEY)));
        messages.forEach((name, bytes) -> {
            fixture.assertMatches("letter." + name, bytes);
            fixture.assertMatches(
                    "letter." + name + ".read",
                    MessageFormatter.format(fixture.bytes("letter." + name)).text());
        });
        assertEquals(
                6000,
                ((GossipMessage.EntryBatch) GossipCodec.decode(fixture.bytes("letter.words"))
                                .orElseThrow())
                        .entries()
                        .get(0)
                        .ageMs());
    }

    @Test
    void registerMessagesAndStateFile() {
        Map<String, Kind> kinds = Map.of(
                "prepare",
                Kind.PREPARE,
                "promised",
                Kind.PROMISE,
                "accept",
                Kind.ACCEPT,
                "accepted",
                Kind.ACCEPTED,
                "refused",
                Kind.REJECTED,
                "written",
                Kind.CHOSEN,
                "known",
                Kind.FINGERPRINT,
                "ask",
                Kind.PAGE_REQUEST,
                "page",
                Kind.PAGE);
        assertEquals(Kind.values().length, kinds.size());
        RegisterState register = new RegisterState("trial/t@1", 6, "end".getBytes(StandardCharsets.US_ASCII), true);
        kinds.forEach((name, kind) -> {
            fixture.assertMatches(
                    "register." + name, new RegisterMessage(kind, 6, 9, "trial/t@1", List.of(register)).encode());
            RegisterMessage decoded =
                    RegisterMessage.decode(fixture.bytes("register." + name)).orElseThrow();
            assertEquals(
                    List.of(kind, 6L, 9L, "trial/t@1"),
                    List.of(decoded.kind(), decoded.term(), decoded.number(), decoded.register()));
            assertEquals("end", new String(decoded.registers().get(0).value(), StandardCharsets.US_ASCII));
        });
        PaxosAcceptor acceptor = new PaxosAcceptor();
        acceptor.accept(7, "a", new byte[] {1});
        acceptor.markChosen("trial/t@1", register.value());
        fixture.assertMatches("registers.file", acceptor.encode());
        PaxosAcceptor decoded =
                PaxosAcceptor.decode(fixture.bytes("registers.file")).orElseThrow();
        fixture.assertMatches("registers.file", decoded.encode());
    }
}
