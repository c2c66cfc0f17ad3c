package merlinlever.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipBudgetTest {

    private static final int BYTES_PER_SECOND = 100 << 10;
    private static final int TICKS_PER_SECOND = 50;

    @Test
    void messageSizeAndBytesPerSecondAreLimited() {
        ReplicatedStore store =
                ReplicationFixture.replica("b0", ReplicationFixture.notPersistent(BYTES_PER_SECOND), "b1", "b2", "b3");
        for (int i = 0; i < 400; i++) {
            byte[] value = new byte[i % 2 == 0 ? 800 : 15_000];
            store.relay(Duration.ZERO, new VersionedEntry("s" + i, "table", 1, 1, value));
        }
        for (int second = 0; second < 20; second++) {
            long bytes = 0;
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                Duration now = Duration.ofMillis(second * 1000L + tick * 20L);
                for (OutgoingMessage message : messagesWithGreedyPeer(store, now)) {
                    assertTrue(message.body().length <= GossipCodec.MAX_MESSAGE_BYTES);
                    bytes += message.body().length;
                }
            }
            long limit = (second == 0 ? 2 : 1) * (long) BYTES_PER_SECOND + 40_000;
            assertTrue(bytes <= limit, second + " s: byte limit exceeded: " + bytes);
            assertTrue(second > 0 || bytes > 50_000, "too few bytes sent in the first second: " + bytes);
        }
    }

    /**
     * Returns the messages of a tick, and the answers to a peer with an empty table that requests entries on every
     * tick.
     */
    private static List<OutgoingMessage> messagesWithGreedyPeer(ReplicatedStore store, Duration now) {
        List<OutgoingMessage> messages = new ArrayList<>(store.tick(now));
        byte[] emptyTable = GossipCodec.encodeChecksums(new long[EntryTable.BUCKET_COUNT]);
        for (OutgoingMessage answer : store.receive(now, "b9", emptyTable)) {
            messages.add(answer);
            GossipMessage.VersionList list = (GossipMessage.VersionList)
                    GossipCodec.decode(answer.body()).orElseThrow();
            byte[] request = GossipCodec.encodeRequest(list.versions().stream()
                    .map(EntryTable.EntryVersion::key)
                    .limit(50)
                    .toList());
            messages.addAll(store.receive(now, "b9", request));
        }
        return messages;
    }
}
