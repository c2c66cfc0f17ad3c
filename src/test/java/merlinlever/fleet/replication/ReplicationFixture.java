package merlinlever.fleet.replication;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.fleet.replication.ReplicatedStore.PersistedEntries;
import merlinlever.fleet.replication.ReplicatedStore.ReplicationSettings;

/** Helpers shared by the tests of this package. */
final class ReplicationFixture {

    /** Settings of a persistent store with a retention of one minute. */
    static final ReplicationSettings SHORT_RETENTION =
            new ReplicationSettings(Duration.ofMillis(200), 3, Duration.ofSeconds(60), 512 << 10, true);

    private ReplicationFixture() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Returns a replica without a disk; the test delivers its messages. */
    static ReplicatedStore singleReplica(String name, String... peers) {
        return replica(name, notPersistent(512 << 10), peers);
    }

    static ReplicatedStore replica(String name, ReplicationSettings settings, String... peers) {
        return new ReplicatedStore(
                Duration.ZERO,
                name,
                1,
                PersistedEntries.NONE,
                settings,
                () -> List.of(peers),
                new SplittableRandom(7),
                line -> {});
    }

    static ReplicationSettings notPersistent(int bytesPerSecond) {
        return new ReplicationSettings(
                SHORT_RETENTION.gossipInterval(), 3, SHORT_RETENTION.retention(), bytesPerSecond, false);
    }

    /** Returns an entry out of few owners, topics, versions and values, so that many entries collide. */
    static StoredEntry randomEntry(SplittableRandom random) {
        byte[] value = random.nextInt(4) == 0 ? null : bytes("v" + random.nextInt(3));
        return StoredEntry.of(
                new VersionedEntry(
                        "o" + random.nextInt(3), "t" + random.nextInt(2), random.nextInt(3), random.nextInt(3), value),
                Duration.ofMillis(random.nextInt(5)));
    }
}
