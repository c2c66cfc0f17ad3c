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

/** Datagrams between backends, and the texts that they carry. */
class DatagramBytesTest {

    private static final Duration LATER = Duration.ofSeconds(20);

    private final Fixture fixture = new Fixture("datagrams.txt");

    @TempDir
    Path folder;

    @Test
    void eachKindOfMembershipIsWrittenAndReadAsBefore() {
        MembershipCodec wire = new MembershipCodec("a-secret-of-16-or-more".getBytes(StandardCharsets.US_ASCII));
        Map<String, MessageKind> kinds = Map.of(
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
        assertEquals(MessageKind.values().length, kinds.size());
        List<MemberStatus> statuses =
                List.of(MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT);
        List<MemberRecord> rumours = statuses.stream()
                .map(status ->
                        new MemberRecord("b" + statuses.indexOf(status), "10.0.0.1:7001", "10.0.0.1:7002", status, 5))
                .toList();
        kinds.forEach((name, kind) -> {
            MembershipMessage message = new MembershipMessage(
                    kind,
                    "b1",
                    7,
                    kind == MessageKind.PING_REQUEST ? "10.0.0.2:7001" : "",
                    rumours,
                    kind == MessageKind.PAYLOAD ? new byte[] {1, 2, 3} : null);
            fixture.assertMatches("membership." + name, wire.encode(message));
            MembershipMessage read = wire.decode(fixture.bytes("membership." + name));
            assertEquals(
                    List.of(
                            message.kind(),
                            message.sender(),
                            message.correlationId(),
                            message.text(),
                            message.records()),
                    List.of(read.kind(), read.sender(), read.correlationId(), read.text(), read.records()));
            assertArrayEquals(message.payload(), read.payload());
        });
    }

    private static String said(List<PeerMessage.Text> all) {
        return all.stream()
                .map(say -> say.recipient() + " " + say.correlationId() + " " + say.text())
                .sorted()
                .collect(Collectors.joining("\n"));
    }

    private static LeaderElection terms(String... voters) {
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
    void anElectionIsHeldInTheSameWords() {
        LeaderElection terms = terms("b1", "b2", "b3");
        fixture.assertMatches("election.granted", said(terms.receive(LATER, "b2", 9, "V/7")));
        fixture.assertMatches("election.refused", said(terms.receive(LATER, "b3", 10, "V/6")));
        terms.receive(LATER, "b3", 11, "H/7/b2");
        fixture.assertMatches("election.leader", terms.leaderAnnouncement(LATER).orElseThrow());
        fixture.assertMatches("election.asks", said(terms("b1", "b2", "b3").tick(LATER)));
    }

    @Test
    void sharesOfBudgetsAreAskedForAndGrantedInTheSameWords() {
        QuotaConsumer spender = new QuotaConsumer() {
            @Override
            public QuotaDemand demand(Duration now, FleetQuota budget) {
                return new QuotaDemand(2, 8);
            }

            @Override
            public void setAllowance(FleetQuota budget, long share, Duration until) {}
        };
        FleetQuota budget = new FleetQuota(
                "calls",
                "calls",
                100,
                FleetQuota.QuotaKind.PER_SECOND,
                Duration.ofSeconds(2),
                0.01,
                Duration.ofSeconds(1),
                Map.of());
        LeaderElection led = terms("b1", "b2", "b3");
        led.receive(LATER, "b3", 11, "H/7/b2");
        fixture.assertMatches(
                "budgets.asks",
                said(new QuotaCoordinator(
                                LATER,
                                new LeaseHolder("b1", 0xabc),
                                List.of(budget),
                                led,
                                new SplittableRandom(1),
                                spender,
                                line -> {})
                        .tick(LATER)));
        LeaderElection leads = terms("b1");
        leads.tick(LATER);
        QuotaCoordinator sharing = new QuotaCoordinator(
                LATER,
                new LeaseHolder("b1", 0xabc),
                List.of(budget),
                leads,
                new SplittableRandom(1),
                spender,
                line -> {});
        sharing.tick(LATER);
        leads.tick(LATER.plusMillis(1900));
        List<PeerMessage.Text> all = new ArrayList<>();
        for (int ms = 0; ms < 8000; ms += 20) {
            leads.tick(LATER.plusMillis(ms));
            sharing.tick(LATER.plusMillis(ms));
        }
        all.addAll(sharing.receive(LATER.plusMillis(8000), "b9", 5, "Q/5/calls/7/0/0/0/3"));
        fixture.assertMatches("budgets.grants", said(all));
        fixture.assertMatches("budgets.state", sharing.statusJson(LATER.plusMillis(8000)));
    }

    @Test
    void theViewIsAskedForInTheSameWords() {
        ViewManager sight = new ViewManager(
                Duration.ZERO,
                new ViewManager.Setup(ViewSettings.defaults(), 7, 4, term -> true, new SplittableRandom(1), line -> {}),
                new MemberTable("b1", "10.0.0.1:7001", "-", 1),
                terms("b1", "b2", "b3"));
        StringBuilder all = new StringBuilder();
        List<PeerMessage> says = new ArrayList<>();
        for (int ms = 0; ms < 1000; ms += 50) {
            says.addAll(sight.tick(Duration.ofMillis(ms)));
        }
        for (String what : List.of("WP/", "WQ/0/-/4/3/", "WG/0/1")) {
            says.addAll(sight.receive(Duration.ofSeconds(1), "b2", 5, what));
        }
        for (PeerMessage say : says) {
            PeerMessage.Text text = assertInstanceOf(PeerMessage.Text.class, say);
            all.append(text.recipient())
                    .append(' ')
                    .append(text.correlationId())
                    .append(' ')
                    .append(text.text())
                    .append('\n');
        }
        fixture.assertMatches("view.words", all.toString());
        fixture.assertMatches("view.state", sight.json(Duration.ofSeconds(1)));
    }

    @Test
    void whoComesBackTellsTheSame() throws Exception {
        try (ManualClockLoop on = new ManualClockLoop();
                FileStateDirectory disk = new FileStateDirectory(folder)) {
            RecoveryCoordinator rejoin = on.callOnLoop(() -> {
                try {
                    return new RecoveryCoordinator(
                            new NodeEnvironment(on.loop, disk, () -> 1_700_000_000_000L),
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
            fixture.assertMatches("recovery.tells", on.callOnLoop(rejoin::recoveryReport));
            fixture.assertMatches(
                    "recovery.state",
                    on.callOnLoop(rejoin::statusJson).replaceAll("\"(since_ms)\":[0-9]+", "\"$1\":0"));
            on.callOnLoop(() -> rejoin.close(Duration.ofSeconds(1)));
        }
    }
}
