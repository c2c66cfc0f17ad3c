package merlinlever.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Agents on a virtual clock, before a network that loses, delays, doubles and cuts. */
class SwimProtocolTest {

    private static final int SEEDS = Integer.getInteger("members.seeds", 1000);

    private static final class VirtualNetwork {
        final SplittableRandom chance;
        final SwimProtocol[] agents;
        final boolean[] up;
        final boolean[] paused;
        final TreeMap<Long, List<Runnable>> later = new TreeMap<>();
        long ms;
        int loss;
        /** Which side of a cut each is on. */
        final int[] side;

        VirtualNetwork(long seed, int count) {
            chance = new SplittableRandom(seed);
            agents = new SwimProtocol[count];
            up = new boolean[count];
            paused = new boolean[count];
            side = new int[count];
            for (int i = 0; i < count; i++) {
                start(i);
            }
        }

        void start(int i) {
            agents[i] = new SwimProtocol(
                    Duration.ofMillis(ms),
                    new MemberTable("n" + i, "g" + i, "p" + i, 0),
                    SwimProtocol.SwimSettings.defaults(List.of("g0", "g1")),
                    chance.split(),
                    line -> {});
            up[i] = true;
        }

        void run(long span) {
            for (long end = ms + span; ms < end; ) {
                ms += 50;
                while (!later.isEmpty() && later.firstKey() <= ms) {
                    later.pollFirstEntry().getValue().forEach(Runnable::run);
                }
                for (int i = 0; i < agents.length; i++) {
                    if (up[i] && !paused[i]) {
                        post(i, agents[i].tick(Duration.ofMillis(ms)));
                    }
                }
            }
        }

        void post(int from, List<SwimProtocol.OutboundDatagram> sendings) {
            for (SwimProtocol.OutboundDatagram sending : sendings) {
                int to = Integer.parseInt(sending.address().substring(1));
                for (int copies = chance.nextInt(50) == 0 ? 2 : 1; copies > 0; copies--) {
                    if (side[from] == side[to] && chance.nextInt(100) >= loss) {
                        long at = ms + 1 + chance.nextInt(chance.nextInt(20) == 0 ? 600 : 30);
                        later.computeIfAbsent(at, k -> new ArrayList<>())
                                .add(() -> arrive(from, to, sending.message()));
                    }
                }
            }
        }

        void arrive(int from, int to, SwimProtocol.MembershipMessage message) {
            if (!up[to] || side[from] != side[to]) {
                return;
            }
            if (paused[to]) {
                later.computeIfAbsent(ms + 50, k -> new ArrayList<>()).add(() -> arrive(from, to, message));
                return;
            }
            agents[to].receive(Duration.ofMillis(ms), "g" + from, message);
            post(to, agents[to].tick(Duration.ofMillis(ms)));
        }

        MemberTable.MemberStatus status(int by, int of) {
            MemberTable.MemberRecord rumour = agents[by].memberTable().find("n" + of);
            return rumour == null ? null : rumour.status();
        }

        void all(MemberTable.MemberStatus wanted, int of, String what) {
            for (int i = 0; i < agents.length; i++) {
                if (i != of && up[i] && !paused[i]) {
                    assertEquals(wanted, status(i, of), what + ": n" + i + " of n" + of);
                }
            }
        }
    }

    @Test
    void deathsAreFoundTheLivingStayAndHalvesFindEachOther() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try {
                play(seed);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    private static void play(long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        VirtualNetwork net = new VirtualNetwork(seed, 3 + chance.nextInt(5));
        int count = net.agents.length;
        net.loss = chance.nextInt(3) * 10;
        net.run(20_000);
        for (int i = 0; i < count; i++) {
            assertEquals(count, net.agents[i].memberTable().size(), "joined");
        }
        switch (chance.nextInt(4)) {
            case 0 -> {
                int dies = 1 + chance.nextInt(count - 1);
                net.up[dies] = false;
                net.run(60_000);
                net.all(MemberTable.MemberStatus.DEAD, dies, "died");
                net.start(dies);
            }
            case 1 -> {
                int cut = 1 + chance.nextInt(count - 1);
                for (int i = 0; i < cut; i++) {
                    net.side[i] = 1;
                }
                net.run(60_000);
                Arrays.fill(net.side, 0);
            }
            case 2 -> {
                // Stopped and woken: it is not dead in the end, and does not hold the others for dead.
                int sleeps = chance.nextInt(count);
                net.paused[sleeps] = true;
                net.run(45_000);
                net.paused[sleeps] = false;
            }
            default -> {
                int leaves = 1 + chance.nextInt(count - 1);
                net.agents[leaves].leave(Duration.ofMillis(net.ms));
                net.post(leaves, net.agents[leaves].tick(Duration.ofMillis(net.ms)));
                net.up[leaves] = false;
                net.run(40_000);
                for (int i = 0; i < count; i++) {
                    if (i != leaves) {
                        MemberTable.MemberStatus status = net.status(i, leaves);
                        assertTrue(
                                status == MemberTable.MemberStatus.LEFT || status == MemberTable.MemberStatus.DEAD,
                                "left: " + status);
                    }
                }
                net.start(leaves);
            }
        }
        net.loss = 0;
        net.run(90_000);
        for (int i = 0; i < count; i++) {
            net.all(MemberTable.MemberStatus.ALIVE, i, "in the end");
        }
    }

    @Test
    void messagesThatAreNotOursAreNothing() {
        MembershipCodec wire = new MembershipCodec("0123456789abcdef".getBytes());
        List<MemberTable.MemberRecord> rumours = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            rumours.add(new MemberTable.MemberRecord(
                    "n" + i, "127.0.0.1:" + i, "127.0.0.2:" + i, MemberTable.MemberStatus.values()[i % 4], i));
        }
        SwimProtocol.MembershipMessage message =
                new SwimProtocol.MembershipMessage(SwimProtocol.MessageKind.SYNC, "n1", 7, "", rumours);
        byte[] good = wire.encode(message);
        assertEquals(message, wire.decode(good));
        assertNull(new MembershipCodec("0123456789abcdeg".getBytes()).decode(good));
        for (int at = 0; at < good.length; at += 7) {
            byte[] bad = good.clone();
            bad[at] ^= 1;
            assertNull(wire.decode(bad));
        }
        assertNull(wire.decode(new byte[65_000]));
        assertNull(wire.decode(new byte[0]));
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 5000; i++) {
            // Rightly signed nonsense: from a later version, say.
            byte[] inner = Arrays.copyOf(good, 4 + chance.nextInt(200));
            for (int k = chance.nextInt(4); k >= 0; k--) {
                inner[chance.nextInt(inner.length)] = (byte) chance.nextInt(256);
            }
            wire.decode(signed(inner));
        }
        rumours.clear();
        for (int i = 0; i < 2000; i++) {
            rumours.add(new MemberTable.MemberRecord(
                    "name-of-a-machine-" + i, "127.0.0.1:" + i, "127.0.0.2:" + i, MemberTable.MemberStatus.ALIVE, i));
        }
        byte[] large =
                wire.encode(new SwimProtocol.MembershipMessage(SwimProtocol.MessageKind.SYNC, "n1", 7, "", rumours));
        assertTrue(large.length <= MembershipCodec.MAX_DATAGRAM_BYTES);
        assertNotNull(wire.decode(large));
    }

    @Test
    void whatIsCarriedAndSaidReachesThoseThatHearItAndNobodyElse() {
        MembershipCodec wire = new MembershipCodec("0123456789abcdef".getBytes());
        SwimProtocol.SwimSettings stated = SwimProtocol.SwimSettings.defaults(List.of("127.0.0.1:2"));
        SwimProtocol one = new SwimProtocol(
                Duration.ZERO,
                new MemberTable("n1", "127.0.0.1:1", "-", 1),
                stated,
                new SplittableRandom(1),
                line -> {});
        SwimProtocol two = new SwimProtocol(
                Duration.ZERO,
                new MemberTable("n2", "127.0.0.1:2", "-", 1),
                stated,
                new SplittableRandom(2),
                line -> {});
        List<String> heard = new ArrayList<>();
        two.addTextHandler(java.util.Set.of("A"), (name, number, what) -> heard.add(name + " " + number + " " + what));
        two.addTextHandler(java.util.Set.of("B"), (name, number, what) -> heard.add("B " + what));
        two.addPayloadHandler((name, body) -> heard.add(name + " carries " + body.length + " " + body[body.length - 1]));
        one.receive(
                Duration.ZERO,
                "127.0.0.1:2",
                new SwimProtocol.MembershipMessage(
                        SwimProtocol.MessageKind.SYNC_REPLY,
                        "n2",
                        0,
                        "",
                        two.memberTable().all()));
        byte[] body = new byte[SwimProtocol.MAX_PAYLOAD_BYTES];
        body[body.length - 1] = 7;
        one.sendPayload("n2", body);
        one.sendPayload("nobody", body);
        one.sendText("n2", 5, "A/x");
        one.sendText("n2", 6, "B");
        one.sendText("n2", 7, "C/nobody-hears-this");
        for (SwimProtocol.OutboundDatagram sending : one.tick(Duration.ofMillis(1))) {
            two.receive(Duration.ofMillis(2), "127.0.0.1:1", wire.decode(wire.encode(sending.message())));
        }
        assertEquals(List.of("n1 carries " + body.length + " 7", "n1 5 A/x", "B B"), heard);
        byte[] cut = wire.encode(new SwimProtocol.MembershipMessage(
                SwimProtocol.MessageKind.PAYLOAD, "n1", 0, "", List.of(), new byte[100]));
        byte[] inner = Arrays.copyOf(cut, cut.length - 16 - 40);
        assertNull(wire.decode(signed(inner)), "carried in part");
    }

    private static byte[] signed(byte[] inner) {
        try {
            javax.crypto.Mac mac = javax.crypto.Mac.getInstance("HmacSHA256");
            mac.init(new javax.crypto.spec.SecretKeySpec("0123456789abcdef".getBytes(), "HmacSHA256"));
            byte[] made = Arrays.copyOf(inner, inner.length + 16);
            System.arraycopy(mac.doFinal(inner), 0, made, inner.length, 16);
            return made;
        } catch (java.security.GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
