package merlinlever.fleet.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.controller.QuotaDemand;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.PeerMessage;
import org.junit.jupiter.api.Test;

/**
 * Checks which received messages are answered, ignored or logged as malformed, depending on the fields that are parsed.
 */
class LeaseMessageReceptionTest {

    private static final Duration LEASE = Duration.ofSeconds(2);
    private static final Duration START = Duration.ofSeconds(100);

    private final List<String> log = new ArrayList<>();

    private LeaderElection election(String... voters) {
        return new LeaderElection(
                START,
                "b1",
                new ElectionSettings(List.of(voters), LEASE, 0.01),
                0,
                term -> true,
                new SplittableRandom(1),
                line -> {});
    }

    private QuotaCoordinator coordinator(LeaderElection election) {
        QuotaConsumer consumer = new QuotaConsumer() {
            @Override
            public QuotaDemand demand(Duration now, FleetQuota quota) {
                return new QuotaDemand(0, 0);
            }

            @Override
            public void setAllowance(FleetQuota quota, long amount, Duration until) {}
        };
        FleetQuota quota = new FleetQuota(
                "calls", "calls", 100, FleetQuota.QuotaKind.PER_SECOND, LEASE, 0.01, Duration.ofSeconds(1), Map.of());
        return new QuotaCoordinator(
                START,
                new LeaseHolder("b1", 0xabc),
                List.of(quota),
                election,
                new SplittableRandom(1),
                consumer,
                event -> log.add(event.text()));
    }

    @Test
    void aBackendThatIsNotLeaderAnnouncesTheLeaderEvenForMalformedRequests() {
        LeaderElection election = election("b1", "b2", "b3");
        election.receive(START, "b3", 11, "H/7/b2");
        PeerMessage.Text announcement =
                new PeerMessage.Text("b9", 0, election.leaderAnnouncement(START).orElseThrow());
        QuotaCoordinator coordinator = coordinator(election);
        for (String request : List.of("Q/7/calls/abc/0/0/0/3", "Q/no-number/calls", "Q")) {
            assertEquals(List.of(announcement), coordinator.receive(START, "b9", 5, request), request);
        }
        assertEquals(List.of(), log);
    }

    @Test
    void messagesAboutAnUnknownQuotaAreIgnoredAndOtherMessagesWithMissingFieldsAreMalformed() {
        LeaderElection election = election("b1");
        Duration now = START;
        while (!election.isLeader(now)) {
            now = now.plusMillis(20);
            assertTrue(now.compareTo(START.plusSeconds(60)) < 0, "no leader was elected");
            election.tick(now);
        }
        QuotaCoordinator coordinator = coordinator(election);
        coordinator.tick(now);
        log.clear();
        long term = election.term();
        for (String ignored : List.of("Q/" + term + "/other", "G/" + term + "/other")) {
            assertEquals(List.of(), coordinator.receive(now, "b9", 5, ignored), ignored);
        }
        assertEquals(List.of(), log);
        List<String> malformed = List.of("Q/" + term + "/calls/abc", "G/" + term + "/calls", "X/1/calls", "/");
        for (String message : malformed) {
            assertEquals(List.of(), coordinator.receive(now, "b9", 5, message), message);
        }
        assertEquals(
                malformed.stream()
                        .map(text -> "quota-message-malformed peer=b9 message=\"" + text + "\"")
                        .toList(),
                log);
    }
}
