package merlinlever.testing.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import merlinlever.fleet.replication.OutgoingMessage;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.ReplicatedStore.PersistedEntries;
import merlinlever.fleet.replication.ReplicatedStore.ReplicationSettings;

/**
 * A fleet of replicated stores on simulated network, clocks and disks, in steps of 20 ms: datagrams are delayed, lost, duplicated and
 * reordered; there are partitions, pauses, and restarts with what was on the disk. The same seed gives the same run.
 */
public final class ReplicationModel {

    /** A datagram under way; of two that are due at a time the one that was sent first arrives first. */
    private record Datagram(long dueAtMs, long sendOrder, int sender, int receiver, byte[] body) {}

    private static final int STEP_MS = 20;
    private static final int MAX_WRITE_MS = 100;
    private static final int MAX_DELAY_MS = 40;
    private static final int MAX_LATE_DELAY_MS = 5000;
    /** Clocks differ in their rates by this share at most. */
    private static final double CLOCK_RATE_SPREAD = 0.01;

    private final SplittableRandom random;
    private final ReplicationSettings settings;
    /** The replicas; null while one is down. */
    public final ReplicatedStore[] replicas;

    private final double[] clockRate;
    private final long[] clockOffsetMs;
    private final long[] pausedUntilMs;
    private final long[] downUntilMs;
    private final long[] writeDoneAtMs;
    private final PersistedEntries[] disks;
    private final List<Optional<PersistedEntries>> writing = new ArrayList<>();
    /** Replicas of different partitions don't reach each other. */
    public final int[] partition;

    private final PriorityQueue<Datagram> network =
            new PriorityQueue<>(Comparator.comparingLong(Datagram::dueAtMs).thenComparingLong(Datagram::sendOrder));
    private long sentDatagrams;
    /** Simulated time. */
    public long nowMs;
    /** Sent by all replicas so far. */
    public long sentBytes;
    /** The share of datagrams that are lost. */
    public double lossRate;
    /** Of 10,000 datagrams so many are delayed by up to five seconds. */
    public int latePerTenThousand = 200;

    /** Creates a fleet and starts all replicas. */
    public ReplicationModel(long seed, int size, ReplicationSettings settings) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        replicas = new ReplicatedStore[size];
        clockRate = new double[size];
        clockOffsetMs = new long[size];
        pausedUntilMs = new long[size];
        downUntilMs = new long[size];
        writeDoneAtMs = new long[size];
        disks = new PersistedEntries[size];
        partition = new int[size];
        Arrays.fill(disks, PersistedEntries.NONE);
        for (int i = 0; i < size; i++) {
            writing.add(Optional.empty());
            clockRate[i] = 1 + (random.nextDouble() - 0.5) * CLOCK_RATE_SPREAD;
            start(i);
        }
    }

    /** The name of a replica. */
    public static String name(int i) {
        return "b" + i;
    }

    /** The steady clock of a replica. */
    public Duration clock(int i) {
        return Duration.ofNanos((long) ((nowMs - clockOffsetMs[i]) * clockRate[i] * 1e6));
    }

    /** Whether a replica is neither down nor paused. */
    public boolean isUp(int i) {
        return replicas[i] != null && nowMs >= pausedUntilMs[i];
    }

    private void start(int i) {
        clockOffsetMs[i] = nowMs - random.nextInt(100_000);
        writing.set(i, Optional.empty());
        replicas[i] = new ReplicatedStore(
                clock(i), name(i), 1, disks[i], settings, () -> peersOf(i), random.split(), line -> {});
    }

    /** Whom membership would hold alive: one that is down is noticed at once, one that is cut off is not. */
    private List<String> peersOf(int i) {
        List<String> peers = new ArrayList<>();
        for (int k = 0; k < replicas.length; k++) {
            if (k != i && replicas[k] != null) {
                peers.add(name(k));
            }
        }
        return peers;
    }

    /** Stops a replica; after that time it restarts with what is on its disk, or with nothing. */
    public void kill(int i, long durationMs, boolean diskLost) {
        replicas[i] = null;
        downUntilMs[i] = nowMs + durationMs;
        disks[i] = diskLost ? PersistedEntries.NONE : disks[i];
    }

    /** Pauses the process of a replica; what arrives meanwhile is read afterwards. */
    public void pause(int i, long durationMs) {
        pausedUntilMs[i] = nowMs + durationMs;
    }

    private void send(int sender, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            int receiver = Integer.parseInt(message.receiver().substring(1));
            sentBytes += message.body().length;
            if (partition[sender] == partition[receiver] && random.nextDouble() >= lossRate) {
                for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                    boolean late = random.nextInt(10_000) < latePerTenThousand;
                    long dueAtMs = nowMs + 1 + random.nextInt(late ? MAX_LATE_DELAY_MS : MAX_DELAY_MS);
                    network.add(new Datagram(dueAtMs, sentDatagrams, sender, receiver, message.body()));
                    sentDatagrams++;
                }
            }
        }
    }

    /** Simulates 20 ms. */
    public void step() {
        nowMs += STEP_MS;
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] == null && nowMs >= downUntilMs[i]) {
                start(i);
            }
        }
        deliver();
        for (int i = 0; i < replicas.length; i++) {
            if (isUp(i)) {
                write(i);
                send(i, replicas[i].tick(clock(i)));
            }
        }
    }

    private void deliver() {
        List<Datagram> unread = new ArrayList<>();
        while (!network.isEmpty() && network.peek().dueAtMs <= nowMs) {
            Datagram datagram = network.poll();
            int receiver = datagram.receiver;
            if (isUp(receiver)) {
                send(receiver, replicas[receiver].receive(clock(receiver), name(datagram.sender), datagram.body));
            } else if (replicas[receiver] != null) {
                unread.add(datagram);
            }
        }
        network.addAll(unread);
    }

    private void write(int i) {
        if (writing.get(i).isPresent() && nowMs >= writeDoneAtMs[i]) {
            disks[i] = writing.get(i).get();
            writing.set(i, Optional.empty());
            replicas[i].writeCompleted(disks[i]);
        }
        if (writing.get(i).isEmpty()) {
            writing.set(i, replicas[i].pendingWrite());
            if (writing.get(i).isPresent()) {
                writeDoneAtMs[i] = nowMs + random.nextInt(MAX_WRITE_MS);
            }
        }
    }

    /** Simulates that much time. */
    public void run(long durationMs) {
        long until = nowMs + durationMs;
        while (nowMs < until) {
            step();
        }
    }

    /** Injects a random fault, or mends one. */
    public void injectRandomFault() {
        int i = random.nextInt(replicas.length);
        switch (random.nextInt(8)) {
            case 0 -> kill(i, random.nextInt(6000), false);
            case 1 -> kill(i, random.nextInt(6000), true);
            case 2 -> pause(i, random.nextInt(8000));
            case 3 -> Arrays.setAll(partition, k -> random.nextInt(2));
            case 4, 5 -> Arrays.fill(partition, 0);
            case 6 -> lossRate = random.nextDouble() * 0.4;
            default -> lossRate = 0;
        }
    }

    /** Mends all faults but replicas that are down. */
    public void heal() {
        lossRate = 0;
        Arrays.fill(partition, 0);
        Arrays.fill(pausedUntilMs, 0);
    }

    /** Whether all replicas are up and hold the same entries. */
    public boolean areEqual() {
        return Arrays.stream(replicas).noneMatch(replica -> replica == null)
                && Arrays.stream(replicas)
                                .map(ReplicatedStore::digest)
                                .distinct()
                                .count()
                        == 1;
    }
}
