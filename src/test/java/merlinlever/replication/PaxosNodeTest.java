package merlinlever.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.election.Leadership;
import merlinlever.faults.FixedFleetView;
import merlinlever.view.FleetView;
import merlinlever.view.QuorumStatus;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PaxosNodeTest {

    static byte[] octets(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- drawn fleets of the whole thing

    private static final class Fleet {
        final SplittableRandom chance;
        final int n;
        final List<String> voters = new ArrayList<>();
        final PaxosNode[] nodes;
        final byte[][] disk;
        final PaxosNode.PendingWrite[] forcing;
        final long[] forcedAt, began, leadsUntil, term;
        final int[] side;
        final List<Object[]> net = new ArrayList<>();
        long now, terms;
        double loss;
        boolean may = true;
        /** Nothing gets on any disk while it is held. */
        boolean held;

        Fleet(long seed, int voting, int n) {
            chance = new SplittableRandom(seed);
            this.n = n;
            nodes = new PaxosNode[n];
            disk = new byte[n][];
            forcing = new PaxosNode.PendingWrite[n];
            forcedAt = new long[n];
            began = new long[n];
            leadsUntil = new long[n];
            term = new long[n];
            side = new int[n];
            for (int i = 0; i < voting; i++) {
                voters.add("b" + i);
            }
            for (int i = 0; i < n; i++) {
                begin(i);
            }
        }

        Duration clock(int i) {
            return Duration.ofMillis(now - began[i]);
        }

        void begin(int i) {
            began[i] = now;
            forcing[i] = null;
            leadsUntil[i] = 0;
            Leadership leadership = new Leadership() {
                @Override
                public boolean isLeader(Duration at) {
                    return now < leadsUntil[i];
                }

                @Override
                public long term() {
                    return term[i];
                }

                @Override
                public Leader leader(Duration at) {
                    return null;
                }

                @Override
                public List<String> voters() {
                    return voters;
                }
            };
            FleetView seen = new FixedFleetView(at -> may ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY);
            nodes[i] = new PaxosNode(
                    clock(i), "b" + i, disk[i], leadership, seen, () -> others(i), chance.split(), line -> {});
        }

        List<String> others(int i) {
            List<String> others = new ArrayList<>();
            for (int k = 0; k < n; k++) {
                if (k != i) {
                    others.add("b" + k);
                }
            }
            return others;
        }

        /** Under a term of its own; whoever led before may believe so for a while longer. */
        void lead(int i, long ms) {
            term[i] = ++terms;
            leadsUntil[i] = now + ms;
        }

        void send(int from, List<OutgoingMessage> all) {
            for (OutgoingMessage each : all) {
                int to = Integer.parseInt(each.to().substring(1));
                assertTrue(to != from && each.body().length <= GossipCodec.MOST);
                if (side[from] == side[to] && chance.nextDouble() >= loss) {
                    for (int copies = chance.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                        net.add(new Object[] {
                            now + 1 + (chance.nextInt(20) == 0 ? chance.nextInt(4000) : chance.nextInt(60)),
                            from,
                            to,
                            each.body()
                        });
                    }
                }
            }
        }

        void step() {
            now += 20;
            List<Object[]> due = new ArrayList<>();
            net.removeIf(each -> (long) each[0] <= now && due.add(each));
            due.forEach(each -> send(
                    (int) each[2], nodes[(int) each[2]].came(clock((int) each[2]), "b" + each[1], (byte[]) each[3])));
            for (int i = 0; i < n; i++) {
                send(i, nodes[i].look(clock(i)));
                if (forcing[i] != null && now >= forcedAt[i] && !held) {
                    disk[i] = forcing[i].octets();
                    long version = forcing[i].version();
                    forcing[i] = null;
                    send(i, nodes[i].kept(clock(i), version));
                }
                PaxosNode.PendingWrite keep = forcing[i] == null ? nodes[i].keep() : null;
                if (keep != null) {
                    forcing[i] = keep;
                    forcedAt[i] = now + chance.nextInt(200);
                }
            }
        }

        void run(long ms) {
            for (long until = now + ms; now < until; ) {
                step();
            }
        }
    }

    @Example
    void underAnyTroubleOneValueAloneIsWrittenAndAllLearnIt() {
        int begun = 0;
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 40); seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            int voting = chance.nextBoolean() ? 3 : 5;
            Fleet fleet = new Fleet(seed, voting, voting + 1);
            fleet.run(13_000);
            Map<String, Set<String>> ever = new TreeMap<>();
            long lostUntil = 0;
            for (int step = 0; step < 2500; step++) {
                int i = chance.nextInt(voting);
                switch (chance.nextInt(120)) {
                    case 0 -> fleet.lead(i, 200 + chance.nextInt(8000));
                    case 1 -> fleet.begin(i);
                    case 2 -> {
                        // The disk too: of one voter at a time, until it has been told what it lost.
                        if (fleet.now > lostUntil) {
                            lostUntil = fleet.now + 30_000;
                            fleet.disk[i] = null;
                            fleet.begin(i);
                        }
                    }
                    case 3 -> Arrays.setAll(fleet.side, k -> chance.nextInt(2));
                    case 4, 5 -> Arrays.fill(fleet.side, 0);
                    case 6 -> fleet.loss = chance.nextDouble() * 0.4;
                    default -> fleet.nodes[i].propose(
                            fleet.clock(i), "r" + chance.nextInt(3), octets("b" + i + "at" + fleet.now));
                }
                fleet.step();
                check(fleet, ever, seed);
            }
            begun += ever.size();
            fleet.loss = 0;
            Arrays.fill(fleet.side, 0);
            fleet.lead(0, 1_000_000);
            fleet.run(15_000);
            for (int r = 0; r < 3; r++) {
                fleet.nodes[0].propose(fleet.clock(0), "r" + r, octets("last"));
            }
            fleet.run(8000);
            check(fleet, ever, seed);
            for (PaxosNode node : fleet.nodes) {
                for (int r = 0; r < 3; r++) {
                    assertTrue(
                            node.written("r" + r).isPresent(),
                            "seed " + seed + ": not all know r" + r + " " + node.json());
                }
                assertTrue(node.json().contains("\"conflicts\":0"));
            }
        }
        assertTrue(begun > 40, "registers written under trouble: " + begun);
    }

    private static void check(Fleet fleet, Map<String, Set<String>> ever, int seed) {
        for (PaxosNode node : fleet.nodes) {
            for (int r = 0; r < 3; r++) {
                String name = "r" + r;
                node.written(name).ifPresent(value -> ever.computeIfAbsent(name, none -> new HashSet<>())
                        .add(new String(value, StandardCharsets.US_ASCII)));
            }
        }
        ever.forEach((name, values) -> assertEquals(1, values.size(), "seed " + seed + ", " + name + ": " + values));
    }

    @Example
    void oneThatMayNotDecideOrDoesNotLeadWritesNothing() {
        Fleet fleet = new Fleet(1, 3, 3);
        fleet.run(13_000);
        fleet.nodes[0].propose(fleet.clock(0), "end", octets("a"));
        fleet.run(2000);
        assertTrue(fleet.nodes[0].written("end").isEmpty(), "it does not lead");
        fleet.lead(0, 100_000);
        fleet.may = false;
        fleet.nodes[0].propose(fleet.clock(0), "end", octets("a"));
        fleet.run(2000);
        assertTrue(fleet.nodes[0].written("end").isEmpty(), "it leads in few");
        fleet.may = true;
        fleet.nodes[0].propose(fleet.clock(0), "end", octets("a"));
        fleet.step();
        fleet.leadsUntil[0] = 0;
        fleet.run(2000);
        assertTrue(fleet.nodes[0].written("end").isEmpty(), "it was deposed after it began");
        fleet.lead(1, 100_000);
        fleet.nodes[1].propose(fleet.clock(1), "end", octets("b"));
        fleet.run(3000);
        for (PaxosNode node : fleet.nodes) {
            assertArrayEquals(octets("b"), node.written("end").orElseThrow());
        }
    }

    @Example
    void nothingIsWrittenWhileDisksAreHeldAndALaterLeaderKeepsToWhatMayHaveBeenWritten() {
        Fleet fleet = new Fleet(4, 3, 3);
        fleet.run(13_000);
        fleet.held = true;
        fleet.side[2] = 1;
        fleet.lead(0, 1_000_000);
        fleet.nodes[0].propose(fleet.clock(0), "end", octets("a"));
        fleet.run(4000);
        assertTrue(fleet.nodes[0].written("end").isEmpty());
        assertTrue(fleet.nodes[1].json().contains("\"begun\":0"), "nobody has promised, so nothing is proposed");
        fleet.held = false;
        while (!fleet.nodes[1].json().contains("\"begun\":1")) {
            fleet.step();
        }
        // Accepted by b1 and forced there, and its answer is lost: b0 does not know that it is written.
        fleet.side[0] = 2;
        fleet.run(300);
        assertTrue(fleet.nodes[0].written("end").isEmpty());
        fleet.net.clear();
        fleet.leadsUntil[0] = 0;
        fleet.side[2] = 0;
        fleet.begin(1);
        fleet.lead(2, 1_000_000);
        fleet.nodes[2].propose(fleet.clock(2), "end", octets("c"));
        fleet.run(3000);
        assertArrayEquals(octets("a"), fleet.nodes[2].written("end").orElseThrow());
    }

    @Example
    void aVoterWithoutItsDiskDoesNotVoteBeforeItIsTold() {
        Fleet fleet = new Fleet(2, 3, 3);
        fleet.run(13_000);
        fleet.lead(0, 1_000_000);
        // Written by b0 and b1; b1's disk is lost, b0 is cut off: b1 and b2 must not write another.
        fleet.side[2] = 1;
        fleet.nodes[0].propose(fleet.clock(0), "end", octets("a"));
        fleet.run(1000);
        assertTrue(fleet.nodes[0].written("end").isPresent());
        fleet.disk[1] = null;
        fleet.begin(1);
        Arrays.fill(fleet.side, 0);
        fleet.side[0] = 1;
        fleet.lead(2, 1_000_000);
        fleet.nodes[2].propose(fleet.clock(2), "end", octets("c"));
        fleet.run(30_000);
        assertTrue(
                fleet.nodes[2].written("end").isEmpty() && fleet.nodes[1].json().contains("\"votes\":false"));
        fleet.side[0] = 0;
        fleet.run(5000);
        assertArrayEquals(octets("a"), fleet.nodes[2].written("end").orElseThrow());
        assertTrue(fleet.nodes[1].json().contains("\"votes\":true"));
    }

    @Property(tries = 5000, seed = "34")
    void whatIsSpoiltIsNeitherReadFromTheDiskNorFromTheNetwork(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        PaxosAcceptor ballots = new PaxosAcceptor();
        for (int i = chance.nextInt(5); i >= 0; i--) {
            ballots.accept(chance.nextInt(4), "r" + i, octets("v".repeat(chance.nextInt(20))));
            if (chance.nextBoolean()) {
                ballots.written("w" + i, octets("w"));
            }
        }
        byte[] disk = ballots.octets();
        assertArrayEquals(disk, PaxosAcceptor.parsed(disk).octets());
        byte[] spoilt = disk.clone();
        spoilt[chance.nextInt(spoilt.length)] ^= (byte) (1 << chance.nextInt(8));
        assertNull(PaxosAcceptor.parsed(spoilt));
        assertNull(PaxosAcceptor.parsed(Arrays.copyOf(disk, chance.nextInt(disk.length))));
        byte[] slip = new RegisterMessage(
                        RegisterMessage.Kind.values()[chance.nextInt(9)],
                        chance.nextInt(9),
                        chance.nextLong(),
                        "r1",
                        List.copyOf(ballots.entries()))
                .octets();
        assertArrayEquals(slip, RegisterMessage.read(slip).octets());
        assertNull(RegisterMessage.read(Arrays.copyOf(slip, chance.nextInt(slip.length))));
        for (int k = chance.nextInt(4); k >= 0; k--) {
            slip[chance.nextInt(slip.length)] = (byte) chance.nextInt(256);
        }
        RegisterMessage read = RegisterMessage.read(slip);
        assertTrue(read == null || Arrays.equals(slip, read.octets()), "one way to write what was read");
        new Fleet(3, 3, 3).nodes[0].came(Duration.ofSeconds(1), "b1", slip);
    }

    @Example
    void registersAreBoundedAndNeverDropped() {
        PaxosAcceptor ballots = new PaxosAcceptor();
        for (int i = 0; i < PaxosAcceptor.MOST; i++) {
            assertTrue(ballots.accept(1, "r" + i, new byte[PaxosAcceptor.MOST_VALUE]));
        }
        assertFalse(ballots.accept(1, "more", octets("x")));
        assertTrue(ballots.written("r0", new byte[PaxosAcceptor.MOST_VALUE]));
        assertFalse(ballots.written("r0", octets("other")));
        assertFalse(ballots.accept(9, "r0", octets("other")));
        assertArrayEquals(
                new byte[PaxosAcceptor.MOST_VALUE],
                ballots.get("r0").value(),
                "what is written stays, whatever is proposed");
        assertEquals(
                PaxosAcceptor.MOST,
                PaxosAcceptor.parsed(ballots.octets()).entries().size());
    }
}
