package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import merlinlever.budgets.Budget;
import merlinlever.budgets.Sharing;
import merlinlever.durable.DiskFolder;
import merlinlever.members.Members;
import merlinlever.members.Members.Kind;
import merlinlever.members.Views;
import merlinlever.members.Wire;
import merlinlever.net.DrivenLoop;
import merlinlever.recovery.Return;
import merlinlever.recovery.net.Rejoin;
import merlinlever.term.Terms;
import merlinlever.view.Sight;
import merlinlever.view.Stated;
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
        Wire wire = new Wire("a-secret-of-16-or-more".getBytes(StandardCharsets.US_ASCII));
        Map<String, Kind> kinds = Map.of(
                "ping",
                Kind.PING,
                "ack",
                Kind.ACK,
                "ask-for",
                Kind.ASK_FOR,
                "nack",
                Kind.NACK,
                "sync",
                Kind.SYNC,
                "sync-back",
                Kind.SYNC_BACK,
                "recall",
                Kind.RECALL,
                "recalled",
                Kind.RECALLED,
                "say",
                Kind.SAY,
                "carry",
                Kind.CARRY);
        assertEquals(Kind.values().length, kinds.size());
        List<Views.Status> statuses =
                List.of(Views.Status.ALIVE, Views.Status.SUSPECT, Views.Status.DEAD, Views.Status.LEFT);
        List<Views.Rumour> rumours = statuses.stream()
                .map(status ->
                        new Views.Rumour("b" + statuses.indexOf(status), "10.0.0.1:7001", "10.0.0.1:7002", status, 5))
                .toList();
        kinds.forEach((name, kind) -> {
            Members.Message message = new Members.Message(
                    kind,
                    "b1",
                    7,
                    kind == Kind.ASK_FOR ? "10.0.0.2:7001" : "",
                    rumours,
                    kind == Kind.CARRY ? new byte[] {1, 2, 3} : null);
            fixture.pins("membership." + name, wire.write(message));
            Members.Message read = wire.read(fixture.bytes("membership." + name));
            assertEquals(
                    List.of(message.kind(), message.from(), message.number(), message.about(), message.rumours()),
                    List.of(read.kind(), read.from(), read.number(), read.about(), read.rumours()));
            assertArrayEquals(message.body(), read.body());
        });
    }

    private static String said(List<Terms.Say> all) {
        return all.stream()
                .map(say -> say.to() + " " + say.number() + " " + say.what())
                .sorted()
                .collect(Collectors.joining("\n"));
    }

    private static Terms terms(String... voters) {
        return new Terms(
                Duration.ZERO,
                "b1",
                List.of(voters),
                Duration.ofSeconds(2),
                0.01,
                4,
                term -> true,
                new SplittableRandom(1),
                line -> {});
    }

    @Test
    void anElectionIsHeldInTheSameWords() {
        Terms terms = terms("b1", "b2", "b3");
        fixture.pins("election.granted", said(terms.said(LATER, "b2", 9, "V/7")));
        fixture.pins("election.refused", said(terms.said(LATER, "b3", 10, "V/6")));
        terms.said(LATER, "b3", 11, "H/7/b2");
        fixture.pins("election.leader", terms.toldWho(LATER));
        fixture.pins("election.asks", said(terms("b1", "b2", "b3").look(LATER)));
    }

    @Test
    void sharesOfBudgetsAreAskedForAndGrantedInTheSameWords() {
        Sharing.Spender spender = new Sharing.Spender() {
            @Override
            public long[] demand(Duration now, Budget budget) {
                return new long[] {2, 8};
            }

            @Override
            public void share(Budget budget, long share, Duration until) {}
        };
        Budget budget = new Budget(
                "calls", "calls", 100, Budget.Per.SECOND, Duration.ofSeconds(2), 0.01, Duration.ofSeconds(1), Map.of());
        Terms led = terms("b1", "b2", "b3");
        led.said(LATER, "b3", 11, "H/7/b2");
        fixture.pins(
                "budgets.asks",
                said(new Sharing(LATER, "b1", 0xabc, List.of(budget), led, new SplittableRandom(1), spender, line -> {})
                        .look(LATER)));
        Terms leads = terms("b1");
        leads.look(LATER);
        Sharing sharing =
                new Sharing(LATER, "b1", 0xabc, List.of(budget), leads, new SplittableRandom(1), spender, line -> {});
        sharing.look(LATER);
        leads.look(LATER.plusMillis(1900));
        List<Terms.Say> all = new ArrayList<>();
        for (int ms = 0; ms < 8000; ms += 20) {
            leads.look(LATER.plusMillis(ms));
            sharing.look(LATER.plusMillis(ms));
        }
        all.addAll(sharing.said(LATER.plusMillis(8000), "b9", 5, "Q/5/calls/7/0/0/0/3"));
        fixture.pins("budgets.grants", said(all));
        fixture.pins("budgets.state", sharing.json(LATER.plusMillis(8000)));
    }

    @Test
    void theViewIsAskedForInTheSameWords() {
        Sight sight = new Sight(
                Duration.ZERO,
                Stated.usual(),
                new Views("b1", "10.0.0.1:7001", "-", 1),
                terms("b1", "b2", "b3"),
                7,
                4,
                term -> true,
                new SplittableRandom(1),
                line -> {});
        StringBuilder all = new StringBuilder();
        List<Sight.Say> says = new ArrayList<>();
        for (int ms = 0; ms < 1000; ms += 50) {
            says.addAll(sight.look(Duration.ofMillis(ms)));
        }
        for (String what : List.of("WP/", "WQ/0/-/4/3/", "WG/0/1")) {
            says.addAll(sight.said(Duration.ofMillis(1000), "b2", 5, what));
        }
        says.forEach(say -> all.append(say.to())
                .append(' ')
                .append(say.number())
                .append(' ')
                .append(say.what())
                .append('\n'));
        fixture.pins("view.words", all.toString());
        fixture.pins("view.state", sight.json(Duration.ofMillis(1000)));
    }

    @Test
    void whoComesBackTellsTheSame() throws Exception {
        try (DrivenLoop on = new DrivenLoop();
                DiskFolder disk = new DiskFolder(folder)) {
            Rejoin rejoin = on.on(() -> {
                try {
                    return new Rejoin(
                            on.loop,
                            disk,
                            new Rejoin.Place(
                                    "b1",
                                    new java.net.InetSocketAddress("127.0.0.1", 0),
                                    "127.0.0.1:1",
                                    "-",
                                    List.of(),
                                    "a-secret-of-16-or-more"),
                            Return.Stated.usual(Duration.ofSeconds(5)),
                            Duration.ZERO,
                            1,
                            () -> 1_700_000_000_000L,
                            Rejoin.Service.NONE,
                            line -> {});
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            fixture.pins("recovery.tells", on.on(rejoin::tells));
            fixture.pins("recovery.state", on.on(rejoin::json).replaceAll("\"(since_ms)\":[0-9]+", "\"$1\":0"));
            on.on(() -> rejoin.close(Duration.ofSeconds(1)));
        }
    }
}
