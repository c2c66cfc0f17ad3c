package merlinlever.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GossipCodecTest {

    @Property(tries = 20_000, seed = "33")
    void onlyValidEncodingsAreDecoded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] message = randomMessage(random);
        assertArrayEquals(
                message,
                encode(GossipCodec.decode(message).orElseThrow()),
                "a decoded message encodes to the same bytes");
        byte[] corrupted = corrupted(random, message);
        ReplicatedStore store = ReplicationFixture.singleReplica("b0", "b1");
        String digestBefore = store.digest();
        Optional<GossipMessage> decoded = GossipCodec.decode(corrupted);
        store.receive(Duration.ofMillis(20), "b1", corrupted);
        if (decoded.isEmpty()) {
            assertEquals(digestBefore, store.digest(), "a malformed message must not change the store");
            assertTrue(store.statusJson().contains("\"malformed\":1"));
        } else {
            // Each message has one encoding, so the decoder skipped no bytes.
            assertArrayEquals(corrupted, encode(decoded.get()));
        }
    }

    private static byte[] randomMessage(SplittableRandom random) {
        EntryTable table = new EntryTable();
        for (int i = random.nextInt(8); i >= 0; i--) {
            table.merge(ReplicationFixture.randomEntry(random));
        }
        return switch (random.nextInt(4)) {
            case 0 -> GossipCodec.encodeChecksums(table.bucketChecksums());
            case 1 -> GossipCodec.encodeVersions(random.nextLong(), table.versions(-1));
            case 2 -> GossipCodec.encodeEntries(Duration.ofSeconds(9), table.entries());
            default -> GossipCodec.encodeRequest(
                    table.entries().stream().map(StoredEntry::key).toList());
        };
    }

    private static byte[] corrupted(SplittableRandom random, byte[] message) {
        byte[] corrupted = message.clone();
        switch (random.nextInt(3)) {
            case 0 -> corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
            case 1 -> corrupted = Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 9));
            default -> {
                for (int i = random.nextInt(6); i >= 0; i--) {
                    corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
                }
            }
        }
        return corrupted;
    }

    private static byte[] encode(GossipMessage message) {
        if (message instanceof GossipMessage.BucketChecksums checksums) {
            return GossipCodec.encodeChecksums(checksums.checksums());
        } else if (message instanceof GossipMessage.VersionList list) {
            return GossipCodec.encodeVersions(list.completeBuckets(), list.versions());
        } else if (message instanceof GossipMessage.EntryRequest request) {
            return GossipCodec.encodeRequest(request.keys());
        }
        Duration now = Duration.ofDays(2000);
        return GossipCodec.encodeEntries(
                now,
                ((GossipMessage.EntryBatch) message)
                        .entries().stream()
                                .map(agedEntry -> agedEntry.entry().withPublishedAt(now.minusMillis(agedEntry.ageMs())))
                                .toList());
    }
}
