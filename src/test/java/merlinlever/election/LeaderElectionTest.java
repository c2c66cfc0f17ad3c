package merlinlever.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.Example;

class LeaderElectionTest {

    private static final List<String> VOTERS = List.of("b0", "b1", "b2");

    private record Delivery(int from, int to, LeaderElection.PeerMessage say) {}

    private final List<LeaderElection> nodes = new ArrayList<>();
    private final Set<String> asked = new TreeSet<>();
    private List<Delivery> net = new ArrayList<>();
    private long ms;
    /** Whom nothing reaches and who reaches nobody; -1 for none. */
    private int cut = -1;

    private Duration now() {
        return Duration.ofMillis(ms);
    }

    private void send(int from, List<LeaderElection.PeerMessage> all) {
        for (LeaderElection.PeerMessage say : all) {
            int to = VOTERS.indexOf(say.recipient());
            if (say.text().startsWith("V")) {
                asked.add(VOTERS.get(from) + " " + say.text());
            }
            if (from != cut && to != cut) {
                net.add(new Delivery(from, to, say));
            }
        }
    }

    private void run(long span) {
        for (long end = ms + span; ms < end; ms += 20) {
            List<Delivery> due = net;
            net = new ArrayList<>();
            due.forEach(sent -> send(
                    sent.to,
                    nodes.get(sent.to).receive(now(), VOTERS.get(sent.from), sent.say.correlationId(), sent.say.text())));
            for (int i = 0; i < nodes.size(); i++) {
                send(i, nodes.get(i).tick(now()));
            }
            assertTrue(nodes.stream().filter(node -> node.isLeader(now())).count() < 2, "two lead at " + ms);
        }
    }

    private int leader() {
        return nodes.indexOf(
                nodes.stream().filter(node -> node.isLeader(now())).findFirst().orElseThrow());
    }

    /** One that was cut off promises the leader again when it is back, and does not stand on for terms of its own. */
    @Example
    void aVoterThatNobodyHeardPromisesWhoeverLeadsWhenItIsBack() {
        for (int seed = 0; seed < 100; seed++) {
            nodes.clear();
            net.clear();
            ms = 0;
            cut = -1;
            SplittableRandom chance = new SplittableRandom(seed);
            VOTERS.forEach(name -> nodes.add(new LeaderElection(
                    now(), name, VOTERS, Duration.ofSeconds(2), 0.01, 0, term -> true, chance.split(), line -> {})));
            run(6000);
            cut = chance.nextInt(3);
            run(10_000);
            int gone = cut;
            int leads = leader();
            assertTrue(leads != gone);
            long term = nodes.get(leads).term();
            cut = -1;
            run(3000);
            asked.clear();
            run(6000);
            assertEquals(
                    Set.of(VOTERS.get(leads) + " V/" + term),
                    asked,
                    "seed " + seed + ": only the leader asks, for its own term");
            // Its promise counts: the leader goes on without the third.
            cut = 3 - gone - leads;
            run(6000);
            assertEquals(term, nodes.get(leader()).term(), "seed " + seed);
        }
    }
}
