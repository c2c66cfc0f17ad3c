package merlinlever.testing.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.controller.QuotaDemand;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.quota.FleetQuota;
import merlinlever.fleet.quota.LeaseHolder;
import merlinlever.fleet.quota.QuotaConsumer;
import merlinlever.fleet.quota.QuotaCoordinator;

/**
 * Backends that share one limit, on a network and clocks of the model's own: steps of 20 ms, each clock running apart by
 * what is stated, datagrams late, lost, doubled and out of order, partitions, pauses, deaths and restarts, all from a seed.
 * It sees what each could spend at every step, and how much of that was over the whole.
 */
public final class QuotaModel {
    final SplittableRandom chance;
    final FleetQuota budget;
    final int n;
    final List<String> voters = new ArrayList<>();
    public final QuotaCoordinator[] nodes;
    final LeaderElection[] terms;
    final double[] rate;
    final long[] offset, noted, pausedUntil, downUntil, life;
    final int[] side;
    public final long[][] wanted;
    final List<Object[]> net = new ArrayList<>();
    /** Of each node and each of its lives that may still count: what it could spend, and when. */
    final ArrayDeque<long[]> lately = new ArrayDeque<>();

    public long now, used, usable, over, octets;
    private long lives;
    public double loss;

    public QuotaModel(long seed, int n, FleetQuota budget) {
        chance = new SplittableRandom(seed);
        this.n = n;
        this.budget = budget;
        nodes = new QuotaCoordinator[n];
        terms = new LeaderElection[n];
        rate = new double[n];
        offset = new long[n];
        noted = new long[n];
        life = new long[n];
        pausedUntil = new long[n];
        downUntil = new long[n];
        side = new int[n];
        wanted = new long[n][1];
        for (int i = 0; i < Math.min(5, n); i++) {
            voters.add("b" + i);
        }
        for (int i = 0; i < n; i++) {
            rate[i] = 1 + (chance.nextDouble() - 0.5) * budget.maxClockDrift();
            begin(i);
        }
    }

    public Duration clock(int i) {
        return Duration.ofNanos((long) ((now - offset[i]) * rate[i] * 1e6));
    }

    /** It is down for so long. */
    public void kill(int i, long ms) {
        nodes[i] = null;
        downUntil[i] = now + ms;
    }

    /** Who divides, or -1. */
    public int leader() {
        for (int i = 0; i < n; i++) {
            if (nodes[i] != null && nodes[i].isLeader(clock(i))) {
                return i;
            }
        }
        return -1;
    }

    public long share(int i) {
        return nodes[i] == null ? 0 : nodes[i].available(clock(i), 0);
    }

    public void begin(int i) {
        offset[i] = now - chance.nextInt(100_000);
        int who = i;
        terms[i] = new LeaderElection(
                clock(i),
                "b" + i,
                new ElectionSettings(voters, budget.leaseDuration(), budget.maxClockDrift()),
                noted[i],
                term -> {
                    noted[who] = Math.max(noted[who], term);
                    return true;
                },
                chance.split(),
                line -> {});
        nodes[i] = new QuotaCoordinator(
                clock(i),
                new LeaseHolder("b" + i, (life[i] = ++lives) << 20),
                List.of(budget),
                terms[i],
                chance.split(),
                new QuotaConsumer() {
                    @Override
                    public QuotaDemand demand(Duration at, FleetQuota of) {
                        return new QuotaDemand(0, wanted[who][0]);
                    }

                    @Override
                    public void setAllowance(FleetQuota of, long share, Duration until) {}
                },
                line -> {});
    }

    boolean up(int i) {
        return now >= downUntil[i] && nodes[i] != null;
    }

    void send(int from, List<PeerMessage.Text> all) {
        for (PeerMessage.Text each : all) {
            int to = Integer.parseInt(each.recipient().substring(1));
            // With the head, the sender, the number and the seal of membership's datagrams, without rumours.
            octets += 40 + each.text().length();
            if (side[from] != side[to] || chance.nextDouble() < loss) {
                continue;
            }
            int copies = chance.nextInt(20) == 0 ? 2 : 1;
            for (int c = 0; c < copies; c++) {
                // Some come very late.
                long at = now + 1 + (chance.nextInt(50) == 0 ? chance.nextInt(5000) : chance.nextInt(40));
                net.add(new Object[] {at, from, to, each.correlationId(), each.text()});
            }
        }
    }

    public void step() {
        now += 20;
        for (int i = 0; i < n; i++) {
            if (now >= downUntil[i] && nodes[i] == null) {
                begin(i);
            }
        }
        List<Object[]> due = new ArrayList<>();
        net.removeIf(message -> {
            int to = (int) message[2];
            // A paused one reads what came once it goes on; one that is down never.
            boolean comes = (long) message[0] <= now && now >= pausedUntil[to];
            if (comes && up(to)) {
                due.add(message);
            }
            return comes;
        });
        for (Object[] message : due) {
            int to = (int) message[2];
            String what = (String) message[4];
            send(
                    to,
                    LeaderElection.MESSAGE_TYPES.contains(what.split("/")[0])
                            ? terms[to].receive(clock(to), "b" + message[1], (long) message[3], what)
                            : nodes[to].receive(clock(to), "b" + message[1], (long) message[3], what));
        }
        long all = 0;
        for (int i = 0; i < n; i++) {
            if (up(i) && now >= pausedUntil[i]) {
                send(i, terms[i].tick(clock(i)));
                send(i, nodes[i].tick(clock(i)));
            }
            if (up(i)) {
                long share = nodes[i].available(clock(i), 0);
                all += share;
                lately.add(new long[] {now, life[i], share});
            }
        }
        // Within a second of each other counts as one, for a budget of so many a second.
        while (!lately.isEmpty() && now - lately.peek()[0] >= 1000) {
            lately.poll();
        }
        Map<Long, Long> most = new HashMap<>();
        lately.forEach(each -> most.merge(each[1], each[2], Math::max));
        over = Math.max(over, most.values().stream().mapToLong(each -> each).sum() - budget.limit());
        used += all;
        usable += budget.limit();
    }

    public void trouble() {
        int i = chance.nextInt(n);
        switch (chance.nextInt(7)) {
            case 0 -> kill(i, chance.nextInt(6000));
            case 1 -> pausedUntil[i] = now + chance.nextInt(8000);
            case 2 -> {
                for (int k = 0; k < n; k++) {
                    side[k] = chance.nextInt(3);
                }
            }
            case 3 -> Arrays.fill(side, 0);
            case 4 -> loss = chance.nextDouble() * 0.6;
            case 5 -> loss = 0;
            default -> {
                if (leader() >= 0) {
                    kill(leader(), chance.nextInt(6000));
                }
            }
        }
    }
}
