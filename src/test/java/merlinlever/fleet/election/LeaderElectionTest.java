package merlinlever.fleet.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.fleet.membership.PeerMessage;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {

    private static final List<String> VOTERS = List.of("b0", "b1", "b2");
    private static final ElectionSettings SETTINGS = new ElectionSettings(VOTERS, Duration.ofSeconds(2), 0.01);
    private static final int TICK_MS = 20;
    private static final int NOBODY = -1;

    private record Delivery(int sender, int recipient, PeerMessage.Text message) {}

    private final List<LeaderElection> nodes = new ArrayList<>();
    private final Set<String> voteRequests = new TreeSet<>();
    private List<Delivery> network = new ArrayList<>();
    private long nowMs;
    /** The node that nothing reaches and that reaches nobody. */
    private int isolated = NOBODY;

    private Duration now() {
        return Duration.ofMillis(nowMs);
    }

    private void send(int sender, List<PeerMessage.Text> messages) {
        for (PeerMessage.Text message : messages) {
            int recipient = VOTERS.indexOf(message.recipient());
            if (message.text().startsWith("V")) {
                voteRequests.add(VOTERS.get(sender) + " " + message.text());
            }
            if (sender != isolated && recipient != isolated) {
                network.add(new Delivery(sender, recipient, message));
            }
        }
    }

    private void deliver(Delivery delivery) {
        PeerMessage.Text message = delivery.message;
        LeaderElection recipient = nodes.get(delivery.recipient);
        String sender = VOTERS.get(delivery.sender);
        send(delivery.recipient, recipient.receive(now(), sender, message.correlationId(), message.text()));
    }

    private void run(long durationMs) {
        for (long end = nowMs + durationMs; nowMs < end; nowMs += TICK_MS) {
            List<Delivery> due = network;
            network = new ArrayList<>();
            due.forEach(this::deliver);
            for (int i = 0; i < nodes.size(); i++) {
                send(i, nodes.get(i).tick(now()));
            }
            long leaders = nodes.stream().filter(node -> node.isLeader(now())).count();
            assertTrue(leaders < 2, "two lead at " + nowMs);
        }
    }

    private int leader() {
        return nodes.indexOf(
                nodes.stream().filter(node -> node.isLeader(now())).findFirst().orElseThrow());
    }

    private void start(SplittableRandom random) {
        nodes.clear();
        network.clear();
        nowMs = 0;
        isolated = NOBODY;
        for (String name : VOTERS) {
            nodes.add(new LeaderElection(now(), name, SETTINGS, 0, term -> true, random.split(), line -> {}));
        }
    }

    /** It does not go on to terms of its own either. */
    @Test
    void aVoterThatWasIsolatedPromisesTheLeaderWhenItIsConnectedAgain() {
        for (int seed = 0; seed < 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            start(random);
            run(6000);
            int wasIsolated = random.nextInt(3);
            isolated = wasIsolated;
            run(10_000);
            int leader = leader();
            assertTrue(leader != wasIsolated);
            long term = nodes.get(leader).term();
            isolated = NOBODY;
            run(3000);
            voteRequests.clear();
            run(6000);
            assertEquals(
                    Set.of(VOTERS.get(leader) + " V/" + term),
                    voteRequests,
                    "seed " + seed + ": only the leader asks, for its own term");
            // Its promise counts: the leader goes on without the third.
            isolated = 3 - wasIsolated - leader;
            run(6000);
            assertEquals(term, nodes.get(leader()).term(), "seed " + seed);
        }
    }

    /** Of a leader that is no voter, or that is this backend itself, not even the term is read. */
    @Test
    void malformedTextsAreLoggedOnceTheyAreReadAndChangeNothing() {
        List<String> log = new ArrayList<>();
        LeaderElection election = new LeaderElection(
                now(), "b0", SETTINGS, 0, term -> true, new SplittableRandom(1), event -> log.add(event.text()));
        for (String ignored : List.of("H/no-number/b9", "H/no-number/b0", "H//b9", "N/3/more", "H/5/b9/more")) {
            assertEquals(List.of(), election.receive(now(), "b1", 7, ignored), ignored);
        }
        assertEquals(List.of(), log);
        List<String> malformed = List.of("H/no-number/b1", "H/5", "H", "V", "V/", "P/x", "N/", "X/1", "/");
        for (String text : malformed) {
            assertEquals(List.of(), election.receive(now(), "b1", 7, text), text);
        }
        assertEquals(
                malformed.stream()
                        .map(text -> "election-message-rejected sender=b1 text=" + text)
                        .toList(),
                log);
        assertTrue(election.leader(now()).isEmpty());
        assertTrue(election.leaderAnnouncement(now()).isEmpty());
    }
}
