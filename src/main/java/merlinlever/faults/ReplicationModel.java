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
    private record Datagram(long at, long order, int from, int to, byte[] body) {}

    private static final int STEP = 20;

    private final SplittableRandom chance;
    private final ReplicatedStore.ReplicationSettings stated;
    public final ReplicatedStore[] nodes;
    private final double[] rate;
    private final long[] offset, pausedUntil, downUntil, forcedAt;
    private final ReplicatedStore.PersistedEntries[] disk, forcing;
    public final int[] side;
    private final PriorityQueue<Datagram> net =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    public long now, octets, letters;
    private long orders;
    public double loss;
    /** Of 10,000 datagrams so many come up to five seconds late. */
    public int late = 200;

    public ReplicationModel(long seed, int n, ReplicatedStore.ReplicationSettings stated) {
        chance = new SplittableRandom(seed);
        this.stated = stated;
        nodes = new ReplicatedStore[n];
        rate = new double[n];
        offset = new long[n];
        pausedUntil = new long[n];
        downUntil = new long[n];
        forcedAt = new long[n];
        disk = new ReplicatedStore.PersistedEntries[n];
        forcing = new ReplicatedStore.PersistedEntries[n];
        side = new int[n];
        Arrays.fill(disk, ReplicatedStore.PersistedEntries.NOTHING);
        for (int i = 0; i < n; i++) {
            rate[i] = 1 + (chance.nextDouble() - 0.5) * 0.01;
            begin(i);
        }
    }

    public static String name(int i) {
        return "b" + i;
    }

    public Duration clock(int i) {
        return Duration.ofNanos((long) ((now - offset[i]) * rate[i] * 1e6));
    }

    public boolean up(int i) {
        return nodes[i] != null && now >= pausedUntil[i];
    }

    private void begin(int i) {
        offset[i] = now - chance.nextInt(100_000);
        forcing[i] = null;
        nodes[i] =
                new ReplicatedStore(clock(i), name(i), 1, disk[i], stated, () -> others(i), chance.split(), line -> {});
    }

    /** Whom membership would hold alive; one that is down is noticed at once, one cut off not. */
    private List<String> others(int i) {
        List<String> others = new ArrayList<>();
        for (int k = 0; k < nodes.length; k++) {
            if (k != i && nodes[k] != null) {
                others.add(name(k));
            }
        }
        return others;
    }

    /** It is down for so long, and comes back with what was forced, or with nothing. */
    public void kill(int i, long ms, boolean diskLost) {
        nodes[i] = null;
        downUntil[i] = now + ms;
        disk[i] = diskLost ? ReplicatedStore.PersistedEntries.NOTHING : disk[i];
    }

    public void pause(int i, long ms) {
        pausedUntil[i] = now + ms;
    }

    private void send(int from, List<OutgoingMessage> all) {
        for (OutgoingMessage each : all) {
            int to = Integer.parseInt(each.to().substring(1));
            octets += each.body().length;
            letters++;
            if (side[from] == side[to] && chance.nextDouble() >= loss) {
                for (int copies = chance.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                    long at = now + 1 + (chance.nextInt(10_000) < late ? chance.nextInt(5000) : chance.nextInt(40));
                    net.add(new Datagram(at, orders++, from, to, each.body()));
                }
            }
        }
    }

    public void step() {
        now += STEP;
        for (int i = 0; i < nodes.length; i++) {
            if (nodes[i] == null && now >= downUntil[i]) {
                begin(i);
            }
        }
        List<Datagram> wait = new ArrayList<>();
        while (!net.isEmpty() && net.peek().at <= now) {
            Datagram one = net.poll();
            if (up(one.to)) {
                send(one.to, nodes[one.to].came(clock(one.to), name(one.from), one.body));
            } else if (nodes[one.to] != null) {
                // A paused one reads what came once it goes on.
                wait.add(one);
            }
        }
        net.addAll(wait);
        for (int i = 0; i < nodes.length; i++) {
            if (up(i)) {
                if (forcing[i] != null && now >= forcedAt[i]) {
                    disk[i] = forcing[i];
                    forcing[i] = null;
                    nodes[i].kept(disk[i]);
                }
                ReplicatedStore.PersistedEntries keep = forcing[i] == null ? nodes[i].keep() : null;
                if (keep != null) {
                    forcing[i] = keep;
                    forcedAt[i] = now + chance.nextInt(100);
                }
                send(i, nodes[i].look(clock(i)));
            }
        }
    }

    public void run(long ms) {
        for (long until = now + ms; now < until; ) {
            step();
        }
    }

    /** Something breaks, or is whole again. */
    public void trouble() {
        int i = chance.nextInt(nodes.length);
        switch (chance.nextInt(8)) {
            case 0 -> kill(i, chance.nextInt(6000), false);
            case 1 -> kill(i, chance.nextInt(6000), true);
            case 2 -> pause(i, chance.nextInt(8000));
            case 3 -> {
                for (int k = 0; k < nodes.length; k++) {
                    side[k] = chance.nextInt(2);
                }
            }
            case 4, 5 -> Arrays.fill(side, 0);
            case 6 -> loss = chance.nextDouble() * 0.4;
            default -> loss = 0;
        }
    }

    public void heal() {
        loss = 0;
        Arrays.fill(side, 0);
        Arrays.fill(pausedUntil, 0);
    }

    /** Whether all hold the same. */
    public boolean equal() {
        String first = null;
        for (ReplicatedStore node : nodes) {
            if (node == null || (first != null && !first.equals(node.digest()))) {
                return false;
            }
            first = node.digest();
        }
        return true;
    }
}
