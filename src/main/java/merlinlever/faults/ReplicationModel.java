package merlinlever.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import merlinlever.replication.OutgoingMessage;
import merlinlever.replication.ReplicatedStore;

/**
 * Backends that share words, on a network, clocks and disks of the model's own: steps of 20 ms, datagrams late, lost, doubled
 * and out of order, partitions, pauses, deaths and restarts with what was forced, all from a seed.
 */
public final class ReplicationModel {

    /** A datagram under way; of two due together the one sent first. */
    private record Datagram(long dueAtMs, long order, int sender, int receiver, byte[] body) {}

    private static final int STEP_MS = 20;

    private final SplittableRandom random;
    private final ReplicatedStore.ReplicationSettings settings;
    public final ReplicatedStore[] replicas;
    private final double[] clockRate;
    private final long[] clockOffsetMs, pausedUntilMs, downUntilMs, writeDoneAtMs;
    private final ReplicatedStore.PersistedEntries[] onDisk, writing;
    public final int[] partition;
    private final PriorityQueue<Datagram> network =
            new PriorityQueue<>((a, b) -> a.dueAtMs != b.dueAtMs ? Long.compare(a.dueAtMs, b.dueAtMs) : Long.compare(a.order, b.order));
    public long nowMs, sentBytes, sentMessages;
    private long sendOrder;
    public double lossRate;
    /** Of 10,000 datagrams so many come up to five seconds late. */
    public int latePerTenThousand = 200;

    public ReplicationModel(long seed, int n, ReplicatedStore.ReplicationSettings settings) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        replicas = new ReplicatedStore[n];
        clockRate = new double[n];
        clockOffsetMs = new long[n];
        pausedUntilMs = new long[n];
        downUntilMs = new long[n];
        writeDoneAtMs = new long[n];
        onDisk = new ReplicatedStore.PersistedEntries[n];
        writing = new ReplicatedStore.PersistedEntries[n];
        partition = new int[n];
        Arrays.fill(onDisk, ReplicatedStore.PersistedEntries.NONE);
        for (int i = 0; i < n; i++) {
            clockRate[i] = 1 + (random.nextDouble() - 0.5) * 0.01;
            start(i);
        }
    }

    public static String name(int i) {
        return "b" + i;
    }

    public Duration clock(int i) {
        return Duration.ofNanos((long) ((nowMs - clockOffsetMs[i]) * clockRate[i] * 1e6));
    }

    public boolean isUp(int i) {
        return replicas[i] != null && nowMs >= pausedUntilMs[i];
    }

    private void start(int i) {
        clockOffsetMs[i] = nowMs - random.nextInt(100_000);
        writing[i] = null;
        replicas[i] =
                new ReplicatedStore(clock(i), name(i), 1, onDisk[i], settings, () -> peersOf(i), random.split(), line -> {});
    }

    /** Whom membership would hold alive; one that is down is noticed at once, one cut off not. */
    private List<String> peersOf(int i) {
        List<String> others = new ArrayList<>();
        for (int k = 0; k < replicas.length; k++) {
            if (k != i && replicas[k] != null) {
                others.add(name(k));
            }
        }
        return others;
    }

    /** It is down for so long, and comes back with what was forced, or with nothing. */
    public void kill(int i, long ms, boolean diskLost) {
        replicas[i] = null;
        downUntilMs[i] = nowMs + ms;
        onDisk[i] = diskLost ? ReplicatedStore.PersistedEntries.NONE : onDisk[i];
    }

    public void pause(int i, long ms) {
        pausedUntilMs[i] = nowMs + ms;
    }

    private void send(int from, List<OutgoingMessage> all) {
        for (OutgoingMessage each : all) {
            int to = Integer.parseInt(each.receiver().substring(1));
            sentBytes += each.body().length;
            sentMessages++;
            if (partition[from] == partition[to] && random.nextDouble() >= lossRate) {
                for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                    long at = nowMs + 1 + (random.nextInt(10_000) < latePerTenThousand ? random.nextInt(5000) : random.nextInt(40));
                    network.add(new Datagram(at, sendOrder++, from, to, each.body()));
                }
            }
        }
    }

    public void step() {
        nowMs += STEP_MS;
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] == null && nowMs >= downUntilMs[i]) {
                start(i);
            }
        }
        List<Datagram> wait = new ArrayList<>();
        while (!network.isEmpty() && network.peek().dueAtMs <= nowMs) {
            Datagram one = network.poll();
            if (isUp(one.receiver)) {
                send(one.receiver, replicas[one.receiver].receive(clock(one.receiver), name(one.sender), one.body));
            } else if (replicas[one.receiver] != null) {
                // A paused one reads what came once it goes on.
                wait.add(one);
            }
        }
        network.addAll(wait);
        for (int i = 0; i < replicas.length; i++) {
            if (isUp(i)) {
                if (writing[i] != null && nowMs >= writeDoneAtMs[i]) {
                    onDisk[i] = writing[i];
                    writing[i] = null;
                    replicas[i].writeCompleted(onDisk[i]);
                }
                ReplicatedStore.PersistedEntries keep = writing[i] == null ? replicas[i].pendingWrite() : null;
                if (keep != null) {
                    writing[i] = keep;
                    writeDoneAtMs[i] = nowMs + random.nextInt(100);
                }
                send(i, replicas[i].tick(clock(i)));
            }
        }
    }

    public void run(long ms) {
        for (long until = nowMs + ms; nowMs < until; ) {
            step();
        }
    }

    /** Something breaks, or is whole again. */
    public void injectRandomFault() {
        int i = random.nextInt(replicas.length);
        switch (random.nextInt(8)) {
            case 0 -> kill(i, random.nextInt(6000), false);
            case 1 -> kill(i, random.nextInt(6000), true);
            case 2 -> pause(i, random.nextInt(8000));
            case 3 -> {
                for (int k = 0; k < replicas.length; k++) {
                    partition[k] = random.nextInt(2);
                }
            }
            case 4, 5 -> Arrays.fill(partition, 0);
            case 6 -> lossRate = random.nextDouble() * 0.4;
            default -> lossRate = 0;
        }
    }

    public void heal() {
        lossRate = 0;
        Arrays.fill(partition, 0);
        Arrays.fill(pausedUntilMs, 0);
    }

    /** Whether all hold the same. */
    public boolean areEqual() {
        String first = null;
        for (ReplicatedStore node : replicas) {
            if (node == null || first != null && !first.equals(node.digest())) {
                return false;
            }
            first = node.digest();
        }
        return true;
    }
}
