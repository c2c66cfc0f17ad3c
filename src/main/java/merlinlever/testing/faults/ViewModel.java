package merlinlever.testing.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.LeaderElection;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;
import merlinlever.fleet.membership.OutboundDatagram;
import merlinlever.fleet.membership.PeerMessage;
import merlinlever.fleet.membership.SwimProtocol;
import merlinlever.fleet.membership.SwimSettings;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.GuardedAction;
import merlinlever.fleet.view.MembershipView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.fleet.view.ViewManager;
import merlinlever.fleet.view.ViewSettings;

/**
 * A fleet whose nodes are the real membership, terms and views, on a network and clocks of the model's own: steps of 50 ms,
 * datagrams late, lost, doubled, replayed and cut one way or both, processes that stand still, die and begin anew, all from a
 * seed. At each step it holds that of one number there is one membership, that numbers only go forward at each node, over
 * restarts too, and that one leads at the most. Virtual time.
 */
public final class ViewModel {

    public static final int STEP = 50;
    private static final Duration LEASE = Duration.ofSeconds(2);
    private static final double DRIFT = 0.01;
    /** Datagrams that a process that stands still keeps for later, at the most. */
    private static final int KEPT = 500;

    private record Datagram(int from, int to, MembershipMessage message) {}

    private record HeldDatagram(Datagram datagram, long at) {}

    /** One process; a new life is a new one. */
    public final class FleetNode {
        final int place;
        public final String name;
        final long offset;
        final double rate;
        final long began;
        long stood;
        public final SwimProtocol members;
        public final LeaderElection terms;
        /** Null where membership is alone. */
        public final ViewManager sight;

        long number;

        FleetNode(int place, String name, long incarnation) {
            this.place = place;
            this.name = name;
            began = now;
            rate = 1 + (chance.nextDouble() - 0.5) * DRIFT;
            offset = now - chance.nextInt(100_000);
            Duration at = clock();
            List<String> seeds = List.of("g0", "g1", "g2");
            members = new SwimProtocol(
                    at,
                    new MemberTable(name, "g" + place, "-", incarnation),
                    SwimSettings.defaults(seeds),
                    chance.split(),
                    line -> {});
            long floor = onDisk[place];
            terms = new LeaderElection(
                    at,
                    name,
                    new ElectionSettings(voters, LEASE, DRIFT),
                    floor,
                    term -> noted(place, term),
                    chance.split(),
                    line -> {});
            sight = alone
                    ? null
                    : new ViewManager(
                            at,
                            new ViewManager.Setup(
                                    ViewSettings.defaults(),
                                    ++lives << 30,
                                    floor,
                                    term -> noted(place, term),
                                    chance.split(),
                                    line -> log.add(now + " " + name + " " + line.text())),
                            members.memberTable(),
                            terms);
            members.addTextHandler(
                    LeaderElection.MESSAGE_TYPES,
                    (who, number, what) -> say(terms.receive(clock(), who, number, what)));
            if (sight != null) {
                members.addTextHandler(
                        ViewManager.MESSAGE_TYPES,
                        (who, number, what) -> say(sight.receive(clock(), who, number, what)));
                members.addPayloadHandler((who, body) -> sight.receivePayload(clock(), body));
            }
        }

        public Duration clock() {
            return Duration.ofNanos((long) ((now - offset - stood) * rate * 1e6));
        }

        private void say(List<? extends PeerMessage> all) {
            all.forEach(members::send);
        }

        void look() {
            say(terms.tick(clock()));
            if (sight != null) {
                say(sight.tick(clock()));
            }
            members.tick(clock()).forEach(each -> send(place, each));
        }

        public QuorumStatus standing() {
            return sight.status(clock());
        }

        public boolean may(GuardedAction act) {
            return sight.permission(clock(), act) == ActionPermissions.Permission.ALLOWED;
        }
    }

    final SplittableRandom chance;
    public final int n;
    public final List<String> voters = new ArrayList<>();
    private final boolean alone;
    public final FleetNode[] nodes;
    private final long[] onDisk, wanted, diskAt, incarnation, pausedUntil;
    private final boolean[] frozen;
    private final NetworkPartitions cuts;
    private final TreeMap<Long, List<Datagram>> net = new TreeMap<>();
    private final List<ArrayDeque<HeldDatagram>> held = new ArrayList<>();
    private final List<Datagram> old = new ArrayList<>();
    public double loss;
    public double replays;
    /** Added to each delay. */
    public int slow;

    public long now, octets, octetsOfMembers, datagrams;
    private long lives;
    /** Every membership that was numbered, and what was found that may not be. */
    private final ViewInvariants audit = new ViewInvariants();

    public final TreeMap<Long, MembershipView> numbered = audit.numbered;
    public final List<String> breaches = audit.breaches;
    public final ArrayDeque<String> log = new ArrayDeque<>();

    /** @param alone membership without views */
    public ViewModel(long seed, int n, int voters, boolean alone) {
        chance = new SplittableRandom(seed);
        this.n = n;
        this.alone = alone;
        nodes = new FleetNode[n];
        onDisk = new long[n];
        wanted = new long[n];
        diskAt = new long[n];
        incarnation = new long[n];
        pausedUntil = new long[n];
        frozen = new boolean[n];
        cuts = new NetworkPartitions(n);
        for (int i = 0; i < n; i++) {
            held.add(new ArrayDeque<>());
        }
        for (int i = 0; i < voters; i++) {
            this.voters.add(name(i));
        }
    }

    public static String name(int i) {
        return "b" + i;
    }

    /** Starts it, or starts it anew after {@link #kill}. */
    public void start(int i) {
        start(i, name(i));
    }

    public void start(int i, String name) {
        incarnation[i] += 64;
        pausedUntil[i] = 0;
        held.get(i).clear();
        nodes[i] = new FleetNode(i, name, incarnation[i]);
    }

    public void startAll() {
        for (int i = 0; i < n; i++) {
            start(i);
        }
    }

    public void kill(int i) {
        nodes[i] = null;
        wanted[i] = onDisk[i];
    }

    /** It stands still for so long; its steady clock goes on, or stands still with it where it is frozen. */
    public void pause(int i, long ms, boolean still) {
        pausedUntil[i] = now + ms;
        frozen[i] = still;
    }

    public boolean runs(int i) {
        return nodes[i] != null && now >= pausedUntil[i];
    }

    public void cut(int from, int to, boolean is) {
        cuts.set(from, to, is);
    }

    /** Into how many sides it is parted, so that none reaches another, less one. */
    public int parted() {
        return cuts.parted();
    }

    /** Whether all that may decide reach each other, in some steps. */
    public boolean decidersOnOneSide() {
        TreeSet<Integer> sides = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            if (runs(i) && !excused(i) && nodes[i].may(GuardedAction.DECIDE)) {
                sides.add(cuts.sideOf(i));
            }
        }
        return sides.size() <= 1;
    }

    /** Each to a side; a datagram passes within one alone. */
    public void sides(int... side) {
        cuts.sides(side);
    }

    public void heal() {
        cuts.heal();
        slow = 0;
        loss = 0;
        replays = 0;
    }

    private boolean noted(int i, long term) {
        if (term > wanted[i]) {
            wanted[i] = term;
            diskAt[i] = now + chance.nextInt(100);
        }
        return term <= onDisk[i];
    }

    // ---- the network

    private void send(int from, OutboundDatagram sending) {
        int to = Integer.parseInt(sending.address().substring(1));
        MembershipMessage message = sending.message();
        // As the wire has it; the heads of UDP and IP come on top.
        int size = 32
                + message.sender().length()
                + message.text().length()
                + (message.payload() == null ? 0 : message.payload().length + 4);
        for (MemberRecord rumour : message.records()) {
            size += 12
                    + rumour.name().length()
                    + rumour.gossipAddress().length()
                    + rumour.apiAddress().length();
        }
        octets += size;
        datagrams++;
        octetsOfMembers += message.kind().compareTo(MessageKind.TEXT) < 0 ? size : 0;
        Datagram datagram = new Datagram(from, to, message);
        if (replays > 0) {
            if (old.size() < 2000) {
                old.add(datagram);
            } else {
                old.set(chance.nextInt(old.size()), datagram);
            }
        }
        if (to >= n || cuts.is(from, to) || chance.nextDouble() < loss) {
            return;
        }
        for (int copies = chance.nextInt(50) == 0 ? 2 : 1; copies > 0; copies--) {
            int late = slow + 1 + chance.nextInt(chance.nextInt(50) == 0 ? 500 : 30);
            net.computeIfAbsent((now + late + STEP - 1) / STEP * STEP, at -> new ArrayList<>())
                    .add(datagram);
        }
    }

    private void arrive(Datagram datagram) {
        if (nodes[datagram.to] == null) {
            return;
        }
        if (now < pausedUntil[datagram.to]) {
            if (held.get(datagram.to).size() < KEPT) {
                held.get(datagram.to).add(new HeldDatagram(datagram, now));
            }
            return;
        }
        nodes[datagram.to].members.receive(nodes[datagram.to].clock(), "g" + datagram.from, datagram.message);
    }

    public void run(long ms) {
        for (long until = now + ms; now < until; ) {
            step();
        }
    }

    public void step() {
        now += STEP;
        for (int i = 0; i < n; i++) {
            if (wanted[i] > onDisk[i] && now >= diskAt[i]) {
                onDisk[i] = wanted[i];
            }
            if (nodes[i] != null && now < pausedUntil[i] && frozen[i]) {
                nodes[i].stood += STEP;
            }
        }
        while (!net.isEmpty() && net.firstKey() <= now) {
            net.pollFirstEntry().getValue().forEach(this::arrive);
        }
        if (replays > 0 && !old.isEmpty() && chance.nextDouble() < replays) {
            Datagram again = old.get(chance.nextInt(old.size()));
            if (!cuts.is(again.from, again.to)) {
                arrive(again);
            }
        }
        for (int i = 0; i < n; i++) {
            if (runs(i)) {
                // What came meanwhile is read before anything else, or after the first look: both are met.
                boolean lookFirst = chance.nextBoolean();
                if (lookFirst && !held.get(i).isEmpty()) {
                    nodes[i].look();
                }
                while (!held.get(i).isEmpty()) {
                    arrive(held.get(i).poll().datagram);
                }
                nodes[i].look();
            }
        }
        if (!alone) {
            check();
        }
    }

    // ---- what is held to be so at each step

    private void check() {
        String leader = null;
        for (FleetNode node : nodes) {
            if (node == null) {
                continue;
            }
            MembershipView view = node.sight.view();
            audit.holds(now, node.name, node.place, node.number, view);
            node.number = view.number();
            if (node.terms.isLeader(node.clock()) && !excused(node.place)) {
                if (leader != null) {
                    audit.breach(now, leader + " and " + node.name + " lead");
                }
                leader = node.name;
            }
        }
        while (log.size() > 60) {
            log.removeFirst();
        }
    }

    /** Leases count on clocks that go on: one whose clock stood still with it counts on them for a while after. */
    private boolean excused(int i) {
        return frozen[i] && now < pausedUntil[i] + 6000;
    }

    /** Who leads, or -1. */
    public int leader() {
        for (int i = 0; i < n; i++) {
            if (nodes[i] != null && nodes[i].terms.isLeader(nodes[i].clock())) {
                return i;
            }
        }
        return -1;
    }

    /** Memberships that followed on another one since that number. */
    public int changesSince(long number) {
        return audit.changesSince(number);
    }

    public long highest() {
        return numbered.isEmpty() ? 0 : numbered.lastKey();
    }

    /** Whether all that run hold one view of exactly these places. */
    public boolean agreed(TreeSet<String> members) {
        MembershipView view = null;
        for (int i = 0; i < n; i++) {
            if (runs(i)) {
                MembershipView its = nodes[i].sight.view();
                if (!its.members().equals(members) || (view != null && view.number() != its.number())) {
                    return false;
                }
                view = its;
            }
        }
        return view != null;
    }

    /** The names of those that run. */
    public TreeSet<String> running() {
        TreeSet<String> names = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            if (runs(i)) {
                names.add(nodes[i].name);
            }
        }
        return names;
    }

    /** Runs until all that run hold one view of just those, and returns how long it took; -1 where it did not come to that. */
    public long untilAgreed(long most) {
        for (long began = now; now - began < most; ) {
            if (agreed(running())) {
                return now - began;
            }
            step();
        }
        return -1;
    }
}
