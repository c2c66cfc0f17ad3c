package merlinlever.testing.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.election.Leadership;
import merlinlever.fleet.experiments.Experiment;
import merlinlever.fleet.experiments.ExperimentCounts;
import merlinlever.fleet.experiments.ExperimentCounts.RequestResult;
import merlinlever.fleet.experiments.ExperimentNode;
import merlinlever.fleet.experiments.ExperimentResult;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.replication.OutgoingMessage;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.ReplicatedStore.PersistedEntries;
import merlinlever.fleet.replication.ReplicatedStore.ReplicationSettings;
import merlinlever.fleet.replication.VersionedEntry;
import merlinlever.fleet.replication.WriteOnceRegisters;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.timeline.FixedFleetView;

/**
 * A fleet of backends with one experiment, on simulated network and clocks, in steps of 20 ms. Replication and leader election are the
 * program's; the quorum status is what the partitions leave, and a register is a value on the disks of the voters, written by a leader that
 * reaches a majority of them (it keeps the value of the highest term that it finds there) and announced by an entry. The same seed gives
 * the same run.
 */
public final class ExperimentModel {

    /** What a datagram carries: an election message or a replication message. */
    private sealed interface Payload {}

    private record ElectionPayload(long number, String text) implements Payload {}

    private record ReplicationPayload(byte[] body) implements Payload {}

    /** A datagram under way; of two that are due at a time the one that was sent first arrives first. */
    private record Datagram(long dueAtMs, long sendOrder, int sender, int receiver, Payload payload) {}

    private record RegisterValue(long term, byte[] value) {}

    private static final int STEP_MS = 20;
    private static final int NODE_TICK_MS = 200;
    private static final int ANNOUNCEMENT_MS = 500;
    private static final int MAX_VOTERS = 5;
    /** A backend that has just started recovers for so long. */
    private static final int RECOVERY_MS = 1500;

    private static final int RESTART_AFTER_RESULT_MS = 8000;

    private final SplittableRandom random;
    private final int size;
    private final List<String> voters = new ArrayList<>();
    private final Experiment[] experiments;
    /** The experiment's nodes; null while a backend is down. */
    public final ExperimentNode[] nodes;

    private final ReplicatedStore[] stores;
    private final LeaderElection[] elections;
    private final PersistedEntries[] disks;
    private final long[] clockOffsetMs;
    private final long[] termsOnDisk;
    private final long[] downUntilMs;
    private final long[] startedAtMs;
    private final List<Map<String, RegisterValue>> registersOnDisk = new ArrayList<>();
    /** Backends of different partitions don't reach each other. */
    public final int[] partition;

    private final PriorityQueue<Datagram> network =
            new PriorityQueue<>(Comparator.comparingLong(Datagram::dueAtMs).thenComparingLong(Datagram::sendOrder));
    private long sentDatagrams;
    private long sentRequests;
    /** Simulated time. */
    public long nowMs;
    /** The share of datagrams, and of writes to voters, that are lost. */
    public double lossRate;
    /** Requests that arrive in a step. */
    public int requestsPerStep = 20;
    /** Callers of these requests. */
    public int callers = 20_000;
    /** Of each arm the share of requests that are served. */
    public double[] servedShare = {0.6, 0.6};
    /** The arm of which one request in {@link #deadlyOneIn} kills its backend; -1 for none. */
    public int deadlyArm = -1;
    /** See {@link #deadlyArm}. */
    public int deadlyOneIn = 1000;
    /** Whether a leader dies as soon as a result is on the disks, before it announces it. */
    public boolean killLeaderAtResult;
    /** When the first result was on the disks, or -1. */
    public long resultWrittenAtMs = -1;
    /** All results that any backend ever adopted, by the experiment's key. */
    private final Map<String, Set<ExperimentResult>> results = new TreeMap<>();

    /** Creates a fleet and starts all backends. */
    public ExperimentModel(long seed, int size, Experiment experiment) {
        random = new SplittableRandom(seed);
        this.size = size;
        experiments = new Experiment[size];
        nodes = new ExperimentNode[size];
        stores = new ReplicatedStore[size];
        elections = new LeaderElection[size];
        disks = new PersistedEntries[size];
        clockOffsetMs = new long[size];
        termsOnDisk = new long[size];
        downUntilMs = new long[size];
        startedAtMs = new long[size];
        partition = new int[size];
        Arrays.fill(experiments, experiment);
        Arrays.fill(disks, PersistedEntries.NONE);
        for (int i = 0; i < size; i++) {
            registersOnDisk.add(new TreeMap<>());
            if (i < MAX_VOTERS) {
                voters.add("b" + i);
            }
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /** The steady clock of a backend. */
    public Duration clock(int i) {
        return Duration.ofMillis(nowMs - clockOffsetMs[i]);
    }

    /** Moves the steady clock of a backend forward, as a virtual machine's clock may jump. */
    public void jumpClock(int i, long forwardMs) {
        clockOffsetMs[i] -= forwardMs;
    }

    /** Stops a backend; it restarts after that time. */
    public void kill(int i, long durationMs) {
        nodes[i] = null;
        downUntilMs[i] = nowMs + durationMs;
    }

    /** The backend that leads, or -1. */
    private int leader() {
        for (int i = 0; i < size; i++) {
            if (nodes[i] != null && elections[i].isLeader(clock(i))) {
                return i;
            }
        }
        return -1;
    }

    /** Restarts a backend that is up with another configuration of the experiment. */
    public void reconfigure(int i, Experiment experiment) {
        experiments[i] = experiment;
        nodes[i].shutDown(clock(i));
        write(i);
        start(i);
    }

    private void write(int i) {
        stores[i].pendingWrite().ifPresent(pending -> {
            disks[i] = pending;
            stores[i].writeCompleted(pending);
        });
    }

    private void start(int i) {
        clockOffsetMs[i] = nowMs - random.nextInt(100_000);
        startedAtMs[i] = nowMs;
        Duration now = clock(i);
        stores[i] = new ReplicatedStore(
                now,
                "b" + i,
                1,
                disks[i],
                ReplicationSettings.defaults(true),
                () -> peersOf(i),
                random.split(),
                line -> {});
        elections[i] = new LeaderElection(
                now,
                "b" + i,
                new ElectionSettings(voters, Duration.ofSeconds(2), 0.01),
                termsOnDisk[i],
                term -> {
                    termsOnDisk[i] = Math.max(termsOnDisk[i], term);
                    return true;
                },
                random.split(),
                line -> {});
        FleetView view = new FixedFleetView(at -> quorumStatus(i));
        nodes[i] = new ExperimentNode(
                now, "b" + i, experiments[i], view, elections[i], new SimulatedRegister(i), stores[i], line -> {});
    }

    private List<String> peersOf(int i) {
        List<String> peers = new ArrayList<>();
        for (int k = 0; k < size; k++) {
            if (k != i && nodes[k] != null) {
                peers.add("b" + k);
            }
        }
        return peers;
    }

    private QuorumStatus quorumStatus(int i) {
        int reachable = reachableVoters(i).size();
        if (nowMs - startedAtMs[i] < RECOVERY_MS) {
            return QuorumStatus.RECOVERING;
        }
        if (reachable == voters.size()) {
            return QuorumStatus.FULL;
        }
        return isMajority(reachable) ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY;
    }

    private boolean isMajority(int count) {
        return count * 2 > voters.size();
    }

    private List<Integer> reachableVoters(int i) {
        List<Integer> reachable = new ArrayList<>();
        for (int k = 0; k < voters.size(); k++) {
            if (nodes[k] != null && partition[k] == partition[i]) {
                reachable.add(k);
            }
        }
        return reachable;
    }

    private final class SimulatedRegister implements WriteOnceRegisters {
        private final int backend;

        SimulatedRegister(int backend) {
            this.backend = backend;
        }

        @Override
        public void propose(Duration now, String name, byte[] value) {
            List<Integer> reachable = reachableVoters(backend);
            if (!elections[backend].isLeader(now) || !isMajority(reachable.size())) {
                return;
            }
            byte[] safeValue = reachable.stream()
                    .map(voter -> registersOnDisk.get(voter).get(name))
                    .filter(found -> found != null)
                    .reduce((highest, found) -> found.term > highest.term ? found : highest)
                    .map(RegisterValue::value)
                    .orElse(value);
            int written = 0;
            for (int voter : reachable) {
                if (random.nextDouble() >= lossRate) {
                    registersOnDisk.get(voter).put(name, new RegisterValue(elections[backend].term(), safeValue));
                    written++;
                }
            }
            if (isMajority(written)) {
                announce(now, name, safeValue);
            }
        }

        private void announce(Duration now, String name, byte[] value) {
            if (resultWrittenAtMs < 0) {
                resultWrittenAtMs = nowMs;
                if (killLeaderAtResult) {
                    downUntilMs[backend] = nowMs + RESTART_AFTER_RESULT_MS;
                    return;
                }
            }
            stores[backend].put(now, topic(name), value);
        }

        @Override
        public Optional<byte[]> chosen(String name) {
            return stores[backend].entries(topic(name)).stream().findFirst().map(VersionedEntry::value);
        }

        private String topic(String name) {
            return "reg/" + Integer.toHexString(name.hashCode());
        }
    }

    private void send(int sender, int receiver, Payload payload) {
        if (partition[sender] == partition[receiver] && random.nextDouble() >= lossRate) {
            for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                long delayMs = 1L + (random.nextInt(50) == 0 ? random.nextInt(3000) : random.nextInt(40));
                network.add(new Datagram(nowMs + delayMs, sentDatagrams, sender, receiver, payload));
                sentDatagrams++;
            }
        }
    }

    private static int index(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private void sendElection(int sender, List<PeerMessage.Text> messages) {
        messages.forEach(message ->
                send(sender, index(message.recipient()), new ElectionPayload(message.correlationId(), message.text())));
    }

    private void sendReplication(int sender, List<OutgoingMessage> messages) {
        messages.forEach(message -> send(sender, index(message.receiver()), new ReplicationPayload(message.body())));
    }

    /** Simulates 20 ms. */
    public void step() {
        nowMs += STEP_MS;
        for (int i = 0; i < size; i++) {
            if (nodes[i] == null && nowMs >= downUntilMs[i]) {
                start(i);
            }
        }
        deliver();
        for (int i = 0; i < size; i++) {
            if (nodes[i] != null) {
                tick(i);
            }
        }
        for (int k = 0; k < requestsPerStep; k++) {
            simulateRequest();
        }
    }

    private void deliver() {
        while (!network.isEmpty() && network.peek().dueAtMs <= nowMs) {
            Datagram datagram = network.poll();
            int receiver = datagram.receiver;
            if (nodes[receiver] == null) {
                continue;
            }
            Duration now = clock(receiver);
            String sender = "b" + datagram.sender;
            if (datagram.payload instanceof ElectionPayload election) {
                sendElection(receiver, elections[receiver].receive(now, sender, election.number, election.text));
            } else if (datagram.payload instanceof ReplicationPayload replication) {
                sendReplication(receiver, stores[receiver].receive(now, sender, replication.body));
            }
        }
    }

    private void tick(int i) {
        Duration now = clock(i);
        write(i);
        List<PeerMessage.Text> electionMessages = elections[i].tick(now);
        Leadership.Leader leader = elections[i].leader(now).orElse(null);
        if (leader != null && leader.name().equals("b" + i) && nowMs % ANNOUNCEMENT_MS == 0) {
            for (int k = 0; k < size; k++) {
                send(
                        i,
                        k,
                        new ElectionPayload(
                                0, elections[i].leaderAnnouncement(now).orElseThrow()));
            }
        }
        if (nowMs % NODE_TICK_MS == 0) {
            nodes[i].tick(now);
            nodes[i].result().ifPresent(results.computeIfAbsent(experiments[i].key(), key -> new HashSet<>())::add);
        }
        if (downUntilMs[i] > nowMs) {
            // Killed as a result was written.
            nodes[i] = null;
            return;
        }
        sendElection(i, electionMessages);
        sendReplication(i, stores[i].tick(now));
    }

    private void simulateRequest() {
        int i = random.nextInt(size);
        String caller = "c" + random.nextInt(callers);
        if (nodes[i] == null) {
            return;
        }
        String requestKey = "o" + sentRequests;
        sentRequests++;
        Optional<ExperimentCounts.CountedRequest> request =
                nodes[i].requestArrived(clock(i), caller, Optional.of(requestKey), false);
        int arm = nodes[i].arm(clock(i), caller);
        if (arm == deadlyArm && random.nextInt(deadlyOneIn) == 0) {
            kill(i, 2000);
            return;
        }
        RequestResult result = random.nextDouble() < servedShare[arm] ? RequestResult.SERVED : RequestResult.OTHER;
        request.ifPresent(counted -> nodes[i].attemptEnded(counted, result, 1));
    }

    /** Simulates that much time. */
    public void run(long durationMs) {
        long until = nowMs + durationMs;
        while (nowMs < until) {
            step();
        }
    }

    /** Whether all backends are up and know the result. */
    public boolean allKnowResult() {
        return Arrays.stream(nodes)
                .allMatch(node -> node != null && node.result().isPresent());
    }

    /** All results that any backend adopted for the first backend's experiment: there must never be more than one. */
    public Set<ExperimentResult> results() {
        return results.getOrDefault(experiments[0].key(), Set.of());
    }

    /** Injects a random fault, or mends one. */
    public void injectRandomFault() {
        int i = random.nextInt(size);
        switch (random.nextInt(6)) {
            case 0 -> kill(i, 500 + random.nextInt(4000));
            case 1 -> jumpClock(i, random.nextInt(30_000));
            case 2 -> Arrays.setAll(partition, k -> random.nextInt(2));
            case 3 -> Arrays.fill(partition, 0);
            case 4 -> lossRate = random.nextDouble() * 0.4;
            default -> {
                if (leader() >= 0) {
                    kill(leader(), 500 + random.nextInt(4000));
                }
            }
        }
    }

    /** Mends all faults but backends that are down. */
    public void heal() {
        lossRate = 0;
        Arrays.fill(partition, 0);
    }
}
