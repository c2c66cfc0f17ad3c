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
    private static final int NO_NODE = -1;

    private record Delivery(int sender, int recipient, PeerMessage.Text message) {}

    private final List<LeaderElection> nodes = new ArrayList<>();
    private final Set<String> voteRequests = new TreeSet<>();
    private List<Delivery> network = new ArrayList<>();
    private long nowMs;
    /** Index of the node whose incoming and outgoing messages are lost. */
    private int isolated = NO_NODE;

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
            assertTrue(leaders < 2, "two leaders at " + nowMs);
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
        isolated = NO_NODE;
        for (String name : VOTERS) {
            nodes.add(new LeaderElection(now(), name, SETTINGS, 0, term -> true, random.split(), line -> {}));
        }
    }

    /**
     * An isolated voter must not advance its term, which would make it reject the current leader after the partition
     * heals.
     */
    @Test
    void anIsolatedVoterPromisesToTheCurrentLeaderAfterReconnecting() {
        for (int seed = 0; seed < 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            start(random);
            run(6000);
            int isolatedVoter = random.nextInt(3);
            isolated = isolatedVoter;
            run(10_000);
            int leader = leader();
            assertTrue(leader != isolatedVoter);
            long term = nodes.get(leader).term();
            isolated = NO_NODE;
            run(3000);
            voteRequests.clear();
            run(6000);
            assertEquals(
                    Set.of(VOTERS.get(leader) + " V/" + term),
                    voteRequests,
                    "seed " + seed + ": vote requests from a node other than the leader or for another term");
            // The reconnected voter's promise keeps the leader in office while the third voter is isolated.
            isolated = 3 - isolatedVoter - leader;
            run(6000);
            assertEquals(term, nodes.get(leader()).term(), "seed " + seed);
        }
    }

    /** The term of an announcement is not parsed if the announced leader is not a voter or is the receiver. */
    @Test
    void malformedMessagesAreLoggedUnlessIgnoredAndHaveNoEffect() {
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
