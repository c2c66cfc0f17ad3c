package merlinlever.dns.follow;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.RecordSet;
import merlinlever.dns.state.Zone;
import org.junit.jupiter.api.Test;

/** Followers in virtual time before a server that loses, refuses, forgets and answers late, audited at every change. */
class FollowerTest {

    private static final int SEEDS = Integer.getInteger("follower.seeds", 2000);
    private static final long FIRST = Long.getLong("follower.first", 1);

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static final byte[] ORIGIN = name("example.org.");
    private static final byte[] NAME = name("tickets.example.org.");

    private static Zone start(ResourceRecord... more) {
        byte[] soa = new byte[22];
        soa[5] = 1;
        List<ResourceRecord> all = new ArrayList<>(List.of(more));
        all.add(new ResourceRecord(ORIGIN, RecordTypes.SOA, 60, soa));
        all.add(new ResourceRecord(ORIGIN, RecordTypes.NS, 60, name("ns.example.org.")));
        all.add(new ResourceRecord(NAME, RecordTypes.TXT, 60, new byte[] {1, 'x'}));
        all.add(new ResourceRecord(name("other.example.org."), RecordTypes.A, 60, new byte[] {9, 9, 9, 9}));
        return Zone.of(ORIGIN, all);
    }

    /** All of one seed. */
    private static final class World {
        final SplittableRandom chance;
        final int instances;
        final boolean[] alive;
        final List<Follower> followers = new ArrayList<>();
        final List<Boolean> busy = new ArrayList<>();
        final List<List<Integer>> unheard = new ArrayList<>();
        final TreeMap<Long, List<Runnable>> later = new TreeMap<>();
        final List<Zone> versions = new ArrayList<>();
        final List<String> log = new ArrayList<>();
        final double keep;
        long ms;
        boolean faults = true;
        Zone zone = start();
        int changes;
        final List<Long> writes = new ArrayList<>();

        World(long seed) {
            chance = new SplittableRandom(seed);
            instances = 2 + chance.nextInt(8);
            alive = new boolean[instances];
            Arrays.fill(alive, true);
            keep = chance.nextInt(3) * 0.25;
            versions.add(zone);
            for (int i = chance.nextInt(2); i >= 0; i--) {
                add("h" + followers.size());
            }
        }

        Duration now() {
            return Duration.ofMillis(ms);
        }

        void add(String holder) {
            followers.add(make(holder));
            busy.add(false);
            unheard.add(new ArrayList<>());
        }

        Follower make(String holder) {
            List<ResourceRecord> records = new ArrayList<>();
            for (int i = 0; i < instances; i++) {
                records.add(new ResourceRecord(NAME, RecordTypes.A, 30, new byte[] {127, 0, 1, (byte) i}));
            }
            return new Follower(
                    now(),
                    new Follower.FollowerSettings(
                            NAME,
                            records,
                            30,
                            Duration.ofSeconds(3),
                            keep,
                            "web",
                            holder,
                            60,
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(10),
                            2),
                    chance.split(),
                    event -> log.add(event.text()));
        }

        void in(long span, Runnable what) {
            later.computeIfAbsent(ms + span, at -> new ArrayList<>()).add(what);
        }

        boolean fault(int of) {
            return faults && chance.nextInt(of) == 0;
        }

        /** One tenth of a second. */
        void tick() {
            ms += 100;
            while (!later.isEmpty() && later.firstKey() <= ms) {
                later.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            if (fault(40)) {
                alive[chance.nextInt(instances)] ^= true;
            }
            if (fault(600)) {
                // Half of the fleet at once.
                for (int i = 0; i < instances; i += 2) {
                    alive[i] = false;
                }
            }
            if (fault(900)) {
                zone = versions.get(chance.nextInt(versions.size()));
                log.add("server back at serial " + zone.serial());
            }
            for (int f = 0; f < followers.size(); f++) {
                if (ms % 1000 == 0) {
                    for (int i = 0; i < instances; i++) {
                        if (alive[i] && !fault(4)) {
                            followers.get(f).heard(now(), i, true);
                        }
                    }
                }
                if (fault(1500)) {
                    // Restarted under its own name, with nothing in memory; what it had sent still arrives.
                    followers.set(f, make("h" + f));
                    busy.set(f, false);
                }
                Follower.Step step = followers.get(f).settle(now());
                if (step != null) {
                    carryOut(step);
                }
            }
        }

        void carryOut(Follower.Step step) {
            long there = 1L + chance.nextInt(faults ? 400 : 20);
            if (fault(12) || (step.server() == 1 && fault(3))) {
                in(there, () -> step.unreachable(now()));
            } else if (fault(12)) {
                in(2000, () -> step.lost(now()));
            } else if (step instanceof Follower.ReadStep read) {
                if (fault(12) || (step.server() == 1 && fault(2))) {
                    in(there, () -> read.refused(now(), DynamicUpdate.REFUSED));
                } else {
                    // The claim and the records are two questions: what lies between them may change.
                    in(there, () -> {
                        List<ResourceRecord> claims = records(
                                DomainNames.prependLabel("_merlinlever".getBytes(UTF_8), NAME), RecordTypes.TXT);
                        in(
                                1 + chance.nextInt(faults ? 300 : 2),
                                () -> read.answered(
                                        now(),
                                        new ObservedRecords(zone.serial(), claims, records(NAME, RecordTypes.A))));
                    });
                }
            } else if (step instanceof Follower.WriteStep write) {
                boolean answerLost = fault(8);
                if (fault(10)) {
                    in(
                            there,
                            () -> write.answered(
                                    now(),
                                    faults && chance.nextBoolean() ? DynamicUpdate.SERVFAIL : DynamicUpdate.REFUSED));
                } else if (answerLost) {
                    in(there, () -> apply(write));
                    in(2000, () -> write.lost(now()));
                } else {
                    in(there, () -> {
                        int code = apply(write);
                        in(there, () -> write.answered(now(), code));
                    });
                }
                if (fault(8)) {
                    // The same datagram again, past a server that does not remember.
                    in(there + chance.nextInt(500), () -> apply(write));
                }
            }
        }

        List<ResourceRecord> records(byte[] owner, int type) {
            List<ResourceRecord> records = new ArrayList<>();
            RecordSet set = zone.set(owner, type);
            if (set != null) {
                set.forEachRecord(owner, records::add);
            }
            return records;
        }

        int apply(Follower.WriteStep write) {
            DynamicUpdate.UpdateResult outcome = DynamicUpdate.apply(zone, write.prerequisites(), write.changes());
            if (outcome.difference() != null) {
                TreeSet<Integer> before = set();
                zone = outcome.zone();
                versions.add(zone);
                writes.add(ms);
                changes += before.equals(set()) ? 0 : 1;
                audit(before);
            }
            return outcome.code();
        }

        TreeSet<Integer> set() {
            TreeSet<Integer> set = new TreeSet<>();
            records(NAME, RecordTypes.A).forEach(rec -> set.add((int) rec.data()[3]));
            return set;
        }

        void audit(TreeSet<Integer> before) {
            if (set().isEmpty() && !before.isEmpty()) {
                fail("the name was emptied");
            }
            records(NAME, RecordTypes.A).forEach(rec -> assertTrue(rec.data()[0] == 127 && rec.data()[3] < instances));
            RecordSet txt = zone.set(NAME, RecordTypes.TXT);
            RecordSet other = zone.set(name("other.example.org."), RecordTypes.A);
            assertTrue(
                    txt != null && txt.size() == 1 && txt.data(0)[1] == 'x', "records that are not owned were touched");
            assertTrue(
                    other != null && other.size() == 1 && other.data(0)[0] == 9,
                    "records that are not owned were touched");
            long recent = writes.stream().filter(at -> at > ms - 60_000).count();
            assertTrue(recent <= 2 * (60 + 11), "over the bound of updates a minute: " + recent);
        }

        TreeSet<Integer> live() {
            TreeSet<Integer> live = new TreeSet<>();
            for (int i = 0; i < instances; i++) {
                if (alive[i]) {
                    live.add(i);
                }
            }
            return live;
        }
    }

    private static void play(long seed) {
        World world = new World(seed);
        try {
            for (int i = 0; i < 900; i++) {
                world.tick();
            }
            world.faults = false;
            TreeSet<Integer> atCalm = null;
            for (int i = 0; i < 1500; i++) {
                world.tick();
                atCalm = i == 60 ? world.set() : atCalm;
            }
            int changes = world.changes;
            for (int i = 0; i < 600; i++) {
                world.tick();
            }
            assertEquals(changes, world.changes, "two views fight");
            TreeSet<Integer> live = world.live();
            boolean enough = !live.isEmpty() && live.size() >= world.keep * world.instances;
            assertEquals(enough ? live : world.set(), world.set(), "live and told differ");
            if (enough) {
                assertTrue(!world.set().isEmpty());
            }
        } catch (AssertionError e) {
            throw new AssertionError(
                    "seed " + seed + " (-Dfollower.first=" + seed + " -Dfollower.seeds=1): " + e.getMessage() + "\n"
                            + String.join(
                                    "\n", world.log.subList(Math.max(0, world.log.size() - 30), world.log.size())),
                    e);
        }
    }

    @Test
    void whateverTheServerDoesTheNameEndsOnTheLiveFleetAndNothingElseIsTouched() {
        // Found among 60,000: a name was emptied where claim and records were read of two versions.
        for (long seed : SEEDS == 1 ? new long[0] : new long[] {30243, 44393, 67365, 78710}) {
            play(seed);
        }
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            play(seed);
        }
    }

    private static Follower alone(SplittableRandom chance, List<String> log, double keep) {
        List<ResourceRecord> records = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            records.add(new ResourceRecord(NAME, RecordTypes.A, 30, new byte[] {127, 0, 1, (byte) i}));
        }
        return new Follower(
                Duration.ZERO,
                new Follower.FollowerSettings(
                        NAME,
                        records,
                        30,
                        Duration.ofSeconds(3),
                        keep,
                        "web",
                        "a",
                        60,
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(10),
                        1),
                chance,
                event -> log.add(event.text()));
    }

    @Test
    void recordsOfSomebodyElseAreLeftAloneAndSaidSo() {
        for (ResourceRecord foreign : new ResourceRecord[] {
            new ResourceRecord(NAME, RecordTypes.A, 30, new byte[] {1, 2, 3, 4}),
            new ResourceRecord(
                    DomainNames.prependLabel("_merlinlever".getBytes(UTF_8), NAME), RecordTypes.TXT, 30, new byte[] {
                        1, 'q'
                    }),
            new ResourceRecord(
                    DomainNames.prependLabel("_merlinlever".getBytes(UTF_8), NAME),
                    RecordTypes.TXT,
                    30,
                    new OwnershipClaim("other", "b", 1, 1).data())
        }) {
            List<String> log = new ArrayList<>();
            Follower follower = alone(new SplittableRandom(1), log, 0);
            Zone zone = start(foreign);
            for (int s = 0; s < 300; s++) {
                Duration now = Duration.ofSeconds(s);
                for (int i = 0; i < 4; i++) {
                    follower.heard(now, i, true);
                }
                Follower.Step step = follower.settle(now);
                if (step instanceof Follower.ReadStep read) {
                    read.answered(
                            now,
                            new ObservedRecords(
                                    zone.serial(),
                                    foreign.type() == RecordTypes.TXT ? List.of(foreign) : List.of(),
                                    foreign.type() == RecordTypes.A ? List.of(foreign) : List.of()));
                } else {
                    assertTrue(step == null, "wrote");
                }
            }
            assertEquals(1, log.size(), log.toString());
        }
    }

    @Test
    void oneThatComesAndGoesIsKeptAwayAndTheOthersAreNotChanged() {
        InstanceTracker fleet = new InstanceTracker(2, Duration.ofSeconds(3), Duration.ofSeconds(60));
        int shown = 0;
        boolean was = false;
        for (int s = 0; s < 600; s++) {
            Duration now = Duration.ofSeconds(s);
            fleet.reported(now, 0, true);
            fleet.reported(now, 1, s / 5 % 2 == 0);
            fleet.update(now);
            boolean is = fleet.alive(false).contains(1);
            shown += is && !was ? 1 : 0;
            was = is;
            assertTrue(fleet.alive(false).contains(0));
        }
        assertTrue(shown <= 4, "shown " + shown + " times of 60");
        for (int s = 600; s < 900; s++) {
            fleet.reported(Duration.ofSeconds(s), 1, true);
        }
        fleet.update(Duration.ofMinutes(15));
        assertTrue(fleet.alive(false).contains(1));
    }
}
