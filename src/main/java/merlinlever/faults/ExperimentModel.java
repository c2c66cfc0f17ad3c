package merlinlever.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.election.ElectionSettings;
import merlinlever.election.LeaderElection;
import merlinlever.experiments.Experiment;
import merlinlever.experiments.ExperimentCounts;
import merlinlever.experiments.ExperimentNode;
import merlinlever.experiments.ExperimentResult;
import merlinlever.membership.PeerMessage;
import merlinlever.replication.OutgoingMessage;
import merlinlever.replication.ReplicatedStore;
import merlinlever.replication.WriteOnceRegisters;
import merlinlever.view.FleetView;
import merlinlever.view.QuorumStatus;

/**
 * Backends with one trial, on a network and clocks of the model's own: steps of 20 ms. Words and terms are the program's; standing is
 * what the partitions leave, and a register is a value on the disks of voters, written by a leader that reaches more than half of
 * them (it takes over the value of the highest term that it finds there) and told by a word. All from a seed.
 */
public final class ExperimentModel {

    private record Datagram(long at, long order, int from, int to, byte[] body, long number, String what) {}

    private record RegisterValue(long term, byte[] value) {}

    private static final int STEP = 20;

    private final SplittableRandom chance;
    private final int n;
    private final List<String> voters = new ArrayList<>();
    public final Experiment[] trials;
    public final ExperimentNode[] parts;
    private final ReplicatedStore[] words;
    private final LeaderElection[] terms;
    private final ReplicatedStore.PersistedEntries[] disk;
    private final long[] offset, noted, downUntil, bornAt;
    private final List<Map<String, RegisterValue>> registers = new ArrayList<>();
    public final int[] side;
    private final PriorityQueue<Datagram> net =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long orders, operations;
    public long now;
    public double loss;
    /** Operations that come in a step, from how many callers; what part of each arm's is satisfied. */
    public int traffic = 20, callers = 20_000;

    public double[] good = {0.6, 0.6};
    /** The arm of which an operation in so many kills its backend; -1: none. */
    public int deadly = -1;

    public int deadlyOneIn = 1000;
    /** A leader dies as soon as an end is on the disks, before it is told. */
    public boolean killAtCrossing;

    public long crossedAt = -1;
    /** All ends that anybody ever knew, by the trial's key. */
    public final Map<String, Set<ExperimentResult>> ends = new TreeMap<>();

    public ExperimentModel(long seed, int n, Experiment trial) {
        chance = new SplittableRandom(seed);
        this.n = n;
        trials = new Experiment[n];
        parts = new ExperimentNode[n];
        words = new ReplicatedStore[n];
        terms = new LeaderElection[n];
        disk = new ReplicatedStore.PersistedEntries[n];
        offset = new long[n];
        noted = new long[n];
        downUntil = new long[n];
        bornAt = new long[n];
        side = new int[n];
        Arrays.fill(trials, trial);
        Arrays.fill(disk, ReplicatedStore.PersistedEntries.NOTHING);
        for (int i = 0; i < n; i++) {
            registers.add(new TreeMap<>());
            if (i < 5) {
                voters.add("b" + i);
            }
        }
        for (int i = 0; i < n; i++) {
            begin(i);
        }
    }

    public Duration clock(int i) {
        return Duration.ofMillis(now - offset[i]);
    }

    /** Its steady clock is ahead by so much from now on. */
    public void jump(int i, long ms) {
        offset[i] -= ms;
    }

    public void kill(int i, long ms) {
        parts[i] = null;
        downUntil[i] = now + ms;
    }

    public int leader() {
        for (int i = 0; i < n; i++) {
            if (parts[i] != null && terms[i].isLeader(clock(i))) {
                return i;
            }
        }
        return -1;
    }

    /** All go by what the configuration says of it now; a backend that is up is started anew. */
    public void restate(int i, Experiment trial) {
        trials[i] = trial;
        parts[i].leave(clock(i));
        force(i);
        begin(i);
    }

    private void force(int i) {
        ReplicatedStore.PersistedEntries keep = words[i].keep();
        if (keep != null) {
            disk[i] = keep;
            words[i].kept(keep);
        }
    }

    private void begin(int i) {
        offset[i] = now - chance.nextInt(100_000);
        bornAt[i] = now;
        Duration at = clock(i);
        words[i] = new ReplicatedStore(
                at,
                "b" + i,
                1,
                disk[i],
                ReplicatedStore.ReplicationSettings.usual(true),
                () -> others(i),
                chance.split(),
                line -> {});
        terms[i] = new LeaderElection(
                at,
                "b" + i,
                new ElectionSettings(voters, Duration.ofSeconds(2), 0.01),
                noted[i],
                term -> {
                    noted[i] = Math.max(noted[i], term);
                    return true;
                },
                chance.split(),
                line -> {});
        FleetView seen = new FixedFleetView(when -> ExperimentModel.this.standing(i));
        parts[i] = new ExperimentNode(
                at, "b" + i, trials[i], seen, terms[i], new SimulatedRegister(i), words[i], line -> {});
    }

    private List<String> others(int i) {
        List<String> others = new ArrayList<>();
        for (int k = 0; k < n; k++) {
            if (k != i && parts[k] != null) {
                others.add("b" + k);
            }
        }
        return others;
    }

    /** By what the partition leaves of the voters; one that has just begun is told what it missed first. */
    private QuorumStatus standing(int i) {
        long heard = reached(i).size();
        return now - bornAt[i] < 1500
                ? QuorumStatus.RECOVERING
                : heard == voters.size()
                        ? QuorumStatus.FULL
                        : heard * 2 > voters.size() ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY;
    }

    private List<Integer> reached(int i) {
        List<Integer> reached = new ArrayList<>();
        for (int k = 0; k < voters.size(); k++) {
            if (parts[k] != null && side[k] == side[i]) {
                reached.add(k);
            }
        }
        return reached;
    }

    private final class SimulatedRegister implements WriteOnceRegisters {
        private final int i;

        SimulatedRegister(int i) {
            this.i = i;
        }

        @Override
        public void propose(Duration at, String name, byte[] value) {
            List<Integer> reached = reached(i);
            if (!terms[i].isLeader(at) || reached.size() * 2 <= voters.size()) {
                return;
            }
            RegisterValue highest = null;
            for (int voter : reached) {
                RegisterValue found = registers.get(voter).get(name);
                highest = found != null && (highest == null || found.term > highest.term) ? found : highest;
            }
            byte[] taken = highest == null ? value : highest.value;
            int on = 0;
            for (int voter : reached) {
                if (chance.nextDouble() >= loss) {
                    registers.get(voter).put(name, new RegisterValue(terms[i].term(), taken));
                    on++;
                }
            }
            if (on * 2 > voters.size()) {
                if (crossedAt < 0) {
                    crossedAt = now;
                    if (killAtCrossing) {
                        downUntil[i] = now + 8000;
                        return;
                    }
                }
                words[i].put(at, topic(name), taken);
            }
        }

        @Override
        public Optional<byte[]> written(String name) {
            return words[i].all(topic(name)).stream().findFirst().map(word -> word.value());
        }

        private String topic(String name) {
            return "reg/" + Integer.toHexString(name.hashCode());
        }
    }

    private void send(int from, int to, byte[] body, long number, String what) {
        if (side[from] == side[to] && chance.nextDouble() >= loss) {
            for (int copies = chance.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                long at = now + 1 + (chance.nextInt(50) == 0 ? chance.nextInt(3000) : chance.nextInt(40));
                net.add(new Datagram(at, orders++, from, to, body, number, what));
            }
        }
    }

    private void sendAll(int from, List<PeerMessage.Text> says, List<OutgoingMessage> carries) {
        says.forEach(each ->
                send(from, Integer.parseInt(each.recipient().substring(1)), null, each.correlationId(), each.text()));
        carries.forEach(each -> send(from, Integer.parseInt(each.to().substring(1)), each.body(), 0, null));
    }

    public void step() {
        now += STEP;
        for (int i = 0; i < n; i++) {
            if (parts[i] == null && now >= downUntil[i]) {
                begin(i);
            }
        }
        while (!net.isEmpty() && net.peek().at <= now) {
            Datagram one = net.poll();
            if (parts[one.to] == null) {
                continue;
            }
            Duration at = clock(one.to);
            if (one.what != null) {
                sendAll(one.to, terms[one.to].receive(at, "b" + one.from, one.number, one.what), List.of());
            } else {
                sendAll(one.to, List.of(), words[one.to].came(at, "b" + one.from, one.body));
            }
        }
        for (int i = 0; i < n; i++) {
            if (parts[i] == null) {
                continue;
            }
            Duration at = clock(i);
            force(i);
            List<PeerMessage.Text> says = terms[i].tick(at);
            LeaderElection.Leader leader = terms[i].leader(at);
            if (leader != null && leader.name().equals("b" + i) && now % 500 == 0) {
                for (int k = 0; k < n; k++) {
                    send(i, k, null, 0, terms[i].leaderAnnouncement(at));
                }
            }
            if (now % 200 == 0) {
                parts[i].look(at);
                parts[i].end().ifPresent(ends.computeIfAbsent(trials[i].key(), key -> new HashSet<>())::add);
            }
            if (downUntil[i] > now) {
                parts[i] = null;
                continue;
            }
            sendAll(i, says, words[i].look(at));
        }
        for (int k = 0; k < traffic; k++) {
            operation();
        }
    }

    private void operation() {
        int i = chance.nextInt(n);
        String caller = "c" + chance.nextInt(callers);
        if (parts[i] == null) {
            return;
        }
        ExperimentCounts.CountedRequest op = parts[i].asked(clock(i), caller, "o" + operations++, false);
        int arm = parts[i].arm(clock(i), caller);
        if (arm == deadly && chance.nextInt(deadlyOneIn) == 0) {
            kill(i, 2000);
            return;
        }
        parts[i].became(
                op,
                chance.nextDouble() < good[arm]
                        ? ExperimentCounts.RequestResult.SATISFIED
                        : ExperimentCounts.RequestResult.OTHER,
                1);
    }

    public void run(long ms) {
        for (long until = now + ms; now < until; ) {
            step();
        }
    }

    /** Whether all that are up know the end. */
    public boolean allEnded() {
        return Arrays.stream(parts).allMatch(part -> part != null && part.end().isPresent());
    }

    /** The one end of the trial, or an empty one; more than one is what must never be. */
    public Set<ExperimentResult> ended() {
        return ends.getOrDefault(trials[0].key(), Set.of());
    }

    public void trouble() {
        int i = chance.nextInt(n);
        switch (chance.nextInt(6)) {
            case 0 -> kill(i, 500 + chance.nextInt(4000));
            case 1 -> jump(i, chance.nextInt(30_000));
            case 2 -> {
                for (int k = 0; k < n; k++) {
                    side[k] = chance.nextInt(2);
                }
            }
            case 3 -> Arrays.fill(side, 0);
            case 4 -> loss = chance.nextDouble() * 0.4;
            default -> {
                if (leader() >= 0) {
                    kill(leader(), 500 + chance.nextInt(4000));
                }
            }
        }
    }

    public void heal() {
        loss = 0;
        Arrays.fill(side, 0);
    }
}
