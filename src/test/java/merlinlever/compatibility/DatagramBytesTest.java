package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.controller.QuotaDemand;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipCodec;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.quota.LeaseHolder;
import merlinlever.fleet.quota.QuotaConsumer;
import merlinlever.fleet.quota.QuotaCoordinator;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.net.NodeEnvironment;
import merlinlever.fleet.recovery.net.NodeSettings;
import merlinlever.fleet.recovery.net.RecoveringService;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.fleet.view.ViewManager;
import merlinlever.fleet.view.ViewSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compatibility with version 0.2 of the datagrams between backends and of the texts in them. */
class DatagramBytesTest {

    private static final Duration UPTIME = Duration.ofSeconds(20);

    private final Fixture fixture = new Fixture("datagrams.txt");

    @TempDir
    Path folder;

    @Test
    void everyMessageKindIsEncodedAndDecodedAsRecorded() {
        MembershipCodec codec = new MembershipCodec("a-secret-of-16-or-more".getBytes(StandardCharsets.US_ASCII));
        Map<String, MessageKind> kindsByName = Map.of(
                "ping",
                MessageKind.PING,
                "ack",
                MessageKind.ACK,
                "ask-for",
                MessageKind.PING_REQUEST,
                "nack",
                MessageKind.NACK,
                "sync",
                MessageKind.SYNC,
                "sync-back",
                MessageKind.SYNC_REPLY,
                "recall",
                MessageKind.RECOVERY_QUERY,
                "recalled",
                MessageKind.RECOVERY_REPLY,
                "say",
                MessageKind.TEXT,
                "carry",
                MessageKind.PAYLOAD);
        assertEquals(MessageKind.values().length, kindsByName.size());
        List<MemberStatus> statuses =
                List.of(MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT);
        List<MemberRecord> records = statuses.stream()
                .map(status ->
                        new MemberRecord("b" + statuses.indexOf(status), "10.0.0.1:7001", "10.0.0.1:7002", status, 5))
                .toList();
        kindsByName.forEach((name, kind) -> {
            MembershipMessage message = new MembershipMessage(
                    kind,
                    "b1",
                    7,
                    kind == MessageKind.PING_REQUEST ? "10.0.0.2:7001" : "",
                    records,
                    kind == MessageKind.PAYLOAD ? new byte[] {1, 2, 3} : null);
            fixture.assertMatches("membership." + name, codec.encode(message));
            MembershipMessage decoded = codec.decode(fixture.bytes("membership." + name));
            assertEquals(
                    List.of(
                            message.kind(),
                            message.sender(),
                            message.correlationId(),
                            message.text(),
                            message.records()),
                    List.of(
                            decoded.kind(),
                            decoded.sender(),
                            decoded.correlationId(),
                            decoded.text(),
                            decoded.records()));
            assertArrayEquals(message.payload(), decoded.payload());
        });
    }

    private static String sortedLines(List<PeerMessage.Text> messages) {
        return messages.stream()
                .map(message -> message.recipient() + " " + message.correlationId() + " " + message.text())
                .sorted()
                .collect(Collectors.joining("\n"));
    }

    private static LeaderElection election(String... voters) {
        return new LeaderElection(
                Duration.ZERO,
                "b1",
                new ElectionSettings(List.of(voters), Duration.ofSeconds(2), 0.01),
                4,
                term -> true,
                new SplittableRandom(1),
                line -> {});
    }

    @Test
    void electionMessagesMatch() {
        LeaderElection election = election("b1", "b2", "b3");
        fixture.assertMatches("election.granted", sortedLines(election.receive(UPTIME, "b2", 9, "V/7")));
        fixture.assertMatches("election.refused", sortedLines(election.receive(UPTIME, "b3", 10, "V/6")));
        election.receive(UPTIME, "b3", 11, "H/7/b2");
        fixture.assertMatches(
                "election.leader", election.leaderAnnouncement(UPTIME).orElseThrow());
        fixture.assertMatches(
                "election.asks", sortedLines(election("b1", "b2", "b3").tick(UPTIME)));
    }

    @Test
    void quotaMessagesMatch() {
        QuotaConsumer consumer = new QuotaConsumer() {
            @Override
            public QuotaDemand demand(Duration now, FleetQuota quota) {
                return new QuotaDemand(2, 8);
            }

            @Override
            public void setAllowance(FleetQuota quota, long amount, Duration until) {}
        };
        FleetQuota quota = new FleetQuota(
                "calls",
                "calls",
                100,
                FleetQuota.QuotaKind.PER_SECOND,
                Duration.ofSeconds(2),
                0.01,
                Duration.ofSeconds(1),
                Map.of());
        LeaderElection followingElection = election("b1", "b2", "b3");
        followingElection.receive(UPTIME, "b3", 11, "H/7/b2");
        fixture.assertMatches(
                "budgets.asks",
                sortedLines(new QuotaCoordinator(
                                UPTIME,
                                new LeaseHolder("b1", 0xabc),
                                List.of(quota),
                                followingElection,
                                new SplittableRandom(1),
                                consumer,
                                line -> {})
                        .tick(UPTIME)));
        LeaderElection leadingElection = election("b1");
        leadingElection.tick(UPTIME);
        QuotaCoordinator leadingCoordinator = new QuotaCoordinator(
                UPTIME,
                new LeaseHolder("b1", 0xabc),
                List.of(quota),
                leadingElection,
                new SplittableRandom(1),
                consumer,
                line -> {});
        leadingCoordinator.tick(UPTIME);
        leadingElection.tick(UPTIME.plusMillis(1900));
        List<PeerMessage.Text> messages = new ArrayList<>();
        for (int ms = 0; ms < 8000; ms += 20) {
            leadingElection.tick(UPTIME.plusMillis(ms));
            leadingCoordinator.tick(UPTIME.plusMillis(ms));
        }
        messages.addAll(leadingCoordinator.receive(UPTIME.plusMillis(8000), "b9", 5, "Q/5/calls/7/0/0/0/3"));
        fixture.assertMatches("budgets.grants", sortedLines(messages));
        fixture.assertMatches("budgets.state", leadingCoordinator.statusJson(UPTIME.plusMillis(8000)));
    }

    @Test
    void viewMessagesMatch() {
        ViewManager view = new ViewManager(
                Duration.ZERO,
                new ViewManager.Setup(ViewSettings.defaults(), 7, 4, term -> true, new SplittableRandom(1), line -> {}),
                new MemberTable("b1", "10.0.0.1:7001", "-", 1),
                election("b1", "b2", "b3"));
        StringBuilder lines = new StringBuilder();
        List<PeerMessage> messages = new ArrayList<>();
        for (int ms = 0; ms < 1000; ms += 50) {
            messages.addAll(view.tick(Duration.ofMillis(ms)));
        }
        for (String text : List.of("WP/", "WQ/0/-/4/3/", "WG/0/1")) {
            messages.addAll(view.receive(Duration.ofSeconds(1), "b2", 5, text));
        }
        for (PeerMessage message : messages) {
            PeerMessage.Text text = assertInstanceOf(PeerMessage.Text.class, message);
            lines.append(text.recipient())
                    .append(' ')
                    .append(text.correlationId())
                    .append(' ')
                    .append(text.text())
                    .append('\n');
        }
        fixture.assertMatches("view.words", lines.toString());
        fixture.assertMatches("view.state", view.json(Duration.ofSeconds(1)));
    }

    @Test
    void recoveryReportMatches() throws Exception {
        try (ManualClockLoop manualLoop = new ManualClockLoop();
                FileStateDirectory stateDirectory = new FileStateDirectory(folder)) {
            RecoveryCoordinator recovery = manualLoop.callOnLoop(() -> {
                try {
                    return new RecoveryCoordinator(
                            new NodeEnvironment(manualLoop.loop, stateDirectory, () -> 1_700_000_000_000L),
                            new NodeSettings(
                                    "b1",
                                    new java.net.InetSocketAddress("127.0.0.1", 0),
                                    Optional.of("127.0.0.1:1"),
                                    "-",
                                    List.of(),
                                    "a-secret-of-16-or-more"),
                            RecoverySettings.defaults(Duration.ofSeconds(5), Duration.ZERO),
                            1,
                            RecoveringService.NONE,
                            line -> {});
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            fixture.assertMatches("recovery.tells", manualLoop.callOnLoop(recovery::recoveryReport));
            fixture.assertMatches(
                    "recovery.state",
                    manualLoop.callOnLoop(recovery::statusJson).replaceAll("\"(since_ms)\":[0-9]+", "\"$1\":0"));
            manualLoop.callOnLoop(() -> recovery.close(Duration.ofSeconds(1)));
        }
    }
}
