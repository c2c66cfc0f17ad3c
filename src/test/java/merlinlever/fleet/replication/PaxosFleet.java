package merlinlever.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.timeline.FixedFleetView;

/** Paxos nodes on a simulated network with simulated disks, in steps of 20 ms; the test appoints the leaders. */
final class PaxosFleet {

    private static final int STEP_MS = 20;

    private record Datagram(long dueAtMs, int sender, int receiver, byte[] body) {}

    final PaxosNode[] nodes;
    /** Content of each node's disk, or null. */
    final byte[][] disks;
    /** Partition of each node; nodes of different partitions don't reach each other. */
    final int[] partition;

    final long[] leaderUntilMs;
    long nowMs;
    double lossRate;
    boolean mayDecide = true;
    /** Whether writes to all disks are blocked. */
    boolean disksBlocked;

    private final SplittableRandom random;
    private final List<String> voters = new ArrayList<>();
    private final List<Optional<PaxosNode.PendingWrite>> writing = new ArrayList<>();
    private final long[] writeCompletedAtMs;
    private final long[] startedAtMs;
    private final long[] terms;
    private final List<Datagram> network = new ArrayList<>();
    private long highestTerm;

    PaxosFleet(long seed, int voterCount, int size) {
        random = new SplittableRandom(seed);
        nodes = new PaxosNode[size];
        disks = new byte[size][];
        writeCompletedAtMs = new long[size];
        startedAtMs = new long[size];
        leaderUntilMs = new long[size];
        terms = new long[size];
        partition = new int[size];
        for (int i = 0; i < voterCount; i++) {
            voters.add("b" + i);
        }
        for (int i = 0; i < size; i++) {
            writing.add(Optional.empty());
            start(i);
        }
    }

    Duration clock(int i) {
        return Duration.ofMillis(nowMs - startedAtMs[i]);
    }

    /** Restarts the node with the content of its disk. */
    void start(int i) {
        startedAtMs[i] = nowMs;
        writing.set(i, Optional.empty());
        leaderUntilMs[i] = 0;
        FleetView view = new FixedFleetView(at -> mayDecide ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY);
        nodes[i] = new PaxosNode(
                clock(i),
                "b" + i,
                Optional.ofNullable(disks[i]),
                new TestLeadership(i),
                view,
                () -> peersOf(i),
                random.split(),
                line -> {});
    }

    private List<String> peersOf(int i) {
        List<String> peers = new ArrayList<>();
        for (int k = 0; k < nodes.length; k++) {
            if (k != i) {
                peers.add("b" + k);
            }
        }
        return peers;
    }

    /** Makes the node leader of a new term; an earlier leader remains leader until its own duration ends. */
    void makeLeader(int i, long durationMs) {
        highestTerm++;
        terms[i] = highestTerm;
        leaderUntilMs[i] = nowMs + durationMs;
    }

    /** Drops all datagrams in flight. */
    void dropDatagrams() {
        network.clear();
    }

    private void send(int sender, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            int receiver = Integer.parseInt(message.receiver().substring(1));
            assertTrue(receiver != sender && message.body().length <= GossipCodec.MAX_MESSAGE_BYTES);
            if (partition[sender] == partition[receiver] && random.nextDouble() >= lossRate) {
                for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                    long delayMs = 1L + (random.nextInt(20) == 0 ? random.nextInt(4000) : random.nextInt(60));
                    network.add(new Datagram(nowMs + delayMs, sender, receiver, message.body()));
                }
            }
        }
    }

    void step() {
        nowMs += STEP_MS;
        List<Datagram> due = new ArrayList<>();
        network.removeIf(datagram -> datagram.dueAtMs <= nowMs && due.add(datagram));
        for (Datagram datagram : due) {
            int receiver = datagram.receiver;
            send(receiver, nodes[receiver].receive(clock(receiver), "b" + datagram.sender, datagram.body));
        }
        for (int i = 0; i < nodes.length; i++) {
            send(i, nodes[i].tick(clock(i)));
            write(i);
        }
    }

    private void write(int i) {
        if (writing.get(i).isPresent() && nowMs >= writeCompletedAtMs[i] && !disksBlocked) {
            PaxosNode.PendingWrite done = writing.get(i).get();
            disks[i] = done.bytes();
            writing.set(i, Optional.empty());
            send(i, nodes[i].writeCompleted(clock(i), done.version()));
        }
        if (writing.get(i).isEmpty()) {
            writing.set(i, nodes[i].pendingWrite());
            if (writing.get(i).isPresent()) {
                writeCompletedAtMs[i] = nowMs + random.nextInt(200);
            }
        }
    }

    void run(long durationMs) {
        long until = nowMs + durationMs;
        while (nowMs < until) {
            step();
        }
    }

    private final class TestLeadership implements Leadership {
        private final int node;

        TestLeadership(int node) {
            this.node = node;
        }

        @Override
        public boolean isLeader(Duration at) {
            return nowMs < leaderUntilMs[node];
        }

        @Override
        public long term() {
            return terms[node];
        }

        @Override
        public Optional<Leader> leader(Duration at) {
            return Optional.empty();
        }

        @Override
        public List<String> voters() {
            return voters;
        }
    }
}
