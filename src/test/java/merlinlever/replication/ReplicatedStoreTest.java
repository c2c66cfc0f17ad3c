package merlinlever.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.faults.ReplicationModel;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ReplicatedStoreTest {

    private static final ReplicatedStore.ReplicationSettings SHORT =
            new ReplicatedStore.ReplicationSettings(Duration.ofMillis(200), 3, Duration.ofSeconds(60), 512 << 10, true);

    private static byte[] octets(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static ReplicatedStore.ReplicationSettings keepless() {
        return new ReplicatedStore.ReplicationSettings(SHORT.period(), 3, SHORT.age(), 512 << 10, false);
    }

    static ReplicatedStore alone(String name, String... live) {
        return new ReplicatedStore(
                Duration.ZERO,
                name,
                1,
                ReplicatedStore.PersistedEntries.NOTHING,
                keepless(),
                () -> List.of(live),
                new SplittableRandom(7),
                line -> {});
    }

    /** Few owners, topics, versions and values, so that much meets. */
    static StoredEntry drawn(SplittableRandom chance) {
        byte[] value = chance.nextInt(4) == 0 ? null : octets("v" + chance.nextInt(3));
        return StoredEntry.of(
                new VersionedEntry(
                        "o" + chance.nextInt(3), "t" + chance.nextInt(2), chance.nextInt(3), chance.nextInt(3), value),
                Duration.ofMillis(chance.nextInt(5)));
    }

    private static EntryTable lot(List<StoredEntry> words) {
        EntryTable lot = new EntryTable();
        words.forEach(lot::merge);
        return lot;
    }

    private static void same(EntryTable one, EntryTable other) {
        assertEquals(one.digest(), other.digest());
        assertArrayEquals(one.sums(), other.sums());
        assertEquals(one.octets(), other.octets());
        for (StoredEntry word : one.words()) {
            StoredEntry its = other.get(word.key());
            assertEquals(word.digests(), its.digests());
            assertArrayEquals(word.value(), its.value());
            assertEquals(word.clashes(), word.digests().size() == 2);
        }
    }

    @Property(tries = 2000, seed = "31")
    void lotsMergeAlikeInAnyOrderAnyNumberOfTimesAndInAnyGroups(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int n) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<StoredEntry> words = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            words.add(drawn(chance));
        }
        EntryTable all = lot(words);
        List<StoredEntry> more = new ArrayList<>(words);
        more.addAll(words.subList(0, chance.nextInt(n + 1)));
        Collections.shuffle(more, new Random(seed));
        same(all, lot(more));
        // Two parts, each merged on its own, then the one into the other.
        int cut = chance.nextInt(n + 1);
        EntryTable left = lot(words.subList(0, cut));
        lot(words.subList(cut, n)).words().forEach(left::merge);
        same(all, left);
        all.words().forEach(left::merge);
        same(all, left);
        // What is held of a key is the highest version of it that was said, and a clash just where it was said in two
        // ways.
        for (StoredEntry held : all.words()) {
            List<StoredEntry> top = words.stream()
                    .filter(word -> word.key().equals(held.key()) && !held.after(word))
                    .toList();
            assertTrue(top.stream().noneMatch(word -> word.after(held)));
            assertEquals(
                    top.stream().map(word -> word.digests().get(0)).distinct().count() > 1, held.clashes());
        }
    }

    // ---- fleets on a network of the model's own

    @Example
    void afterAnyTroubleAllHoldTheSameAndWhatEachPutLast() {
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 25); seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            int n = 2 + chance.nextInt(7);
            ReplicationModel fleet = new ReplicationModel(seed, n, SHORT);
            List<TreeMap<String, String>> last = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                last.add(new TreeMap<>());
            }
            for (int step = 0; step < 1500; step++) {
                if (chance.nextInt(80) == 0) {
                    fleet.trouble();
                }
                int i = chance.nextInt(n);
                if (fleet.up(i) && chance.nextInt(10) == 0) {
                    String topic = "t" + chance.nextInt(3);
                    String value = "v" + step + "x".repeat(chance.nextInt(40) == 0 ? 3000 : 1);
                    if (chance.nextInt(4) == 0) {
                        fleet.nodes[i].remove(fleet.clock(i), topic);
                        last.get(i).remove(topic);
                    } else if (fleet.nodes[i].put(fleet.clock(i), topic, octets(value))) {
                        last.get(i).put(topic, value);
                    }
                }
                fleet.step();
            }
            fleet.heal();
            fleet.run(8000);
            // Each says all again: whatever its former lives left is known, and outdone.
            for (int i = 0; i < n; i++) {
                for (int t = 0; t < 3; t++) {
                    String value = last.get(i).get("t" + t);
                    if (value == null) {
                        fleet.nodes[i].remove(fleet.clock(i), "t" + t);
                    } else {
                        assertTrue(fleet.nodes[i].put(fleet.clock(i), "t" + t, octets(value)));
                    }
                }
            }
            fleet.run(8000);
            assertTrue(fleet.equal(), "seed " + seed + ": not all hold the same");
            for (int i = 0; i < n; i++) {
                for (int k = 0; k < n; k++) {
                    for (int t = 0; t < 3; t++) {
                        String value = fleet.nodes[k]
                                .of("b" + i, "t" + t)
                                .map(word -> new String(word.value(), StandardCharsets.US_ASCII))
                                .orElse(null);
                        assertEquals(last.get(i).get("t" + t), value, "seed " + seed + ": of b" + i + " at b" + k);
                    }
                }
            }
        }
    }

    @Example
    void aRestartNeverTellsLessThanWasHeardOfTheLifeBefore() {
        for (int seed = 0; seed < 20; seed++) {
            ReplicationModel fleet = new ReplicationModel(seed, 4, SHORT);
            SplittableRandom chance = new SplittableRandom(seed);
            long told = 0;
            long count = 0;
            for (int step = 0; step < 2000; step++) {
                if (chance.nextInt(200) == 0) {
                    fleet.kill(0, chance.nextInt(2000), false);
                }
                if (fleet.up(0)) {
                    // As a counter does: it goes on from what its life before left.
                    count = fleet.nodes[0]
                            .of("b0", "count")
                            .map(word -> Long.parseLong(new String(word.value(), StandardCharsets.US_ASCII)))
                            .orElse(0L);
                    assertTrue(
                            count >= told,
                            "seed " + seed + ": it goes on from " + count + ", others have heard " + told);
                    fleet.nodes[0].put(fleet.clock(0), "count", octets("" + (count + 1)));
                }
                fleet.step();
                told = Math.max(
                        told,
                        fleet.nodes[1]
                                .of("b0", "count")
                                .map(word -> Long.parseLong(new String(word.value(), StandardCharsets.US_ASCII)))
                                .orElse(0L));
            }
            assertTrue(told > 200, "" + told);
        }
    }

    @Example
    void whatWasTakenBackDoesNotComeBackFromOneThatSleptOrWasCutOff() {
        for (int seed = 0; seed < 12; seed++) {
            ReplicationModel fleet = new ReplicationModel(seed, 5, SHORT);
            for (int i = 0; i < 5; i++) {
                fleet.nodes[i].put(fleet.clock(i), "keep", octets("k"));
            }
            fleet.nodes[0].put(fleet.clock(0), "gone", octets("old"));
            fleet.run(5000);
            assertTrue(fleet.nodes[4].of("b0", "gone").isPresent());
            // Two cut off together, one that stands still, for a while from short of the age to long past it.
            long away = 10_000 + 15_000L * seed;
            if (seed % 2 == 0) {
                fleet.pause(4, away);
            } else {
                fleet.side[3] = fleet.side[4] = 1;
            }
            fleet.run(500);
            fleet.nodes[0].remove(fleet.clock(0), "gone");
            fleet.run(away);
            fleet.heal();
            fleet.run(300);
            for (int step = 0; step < 400; step++) {
                fleet.step();
                for (int i = 0; i < 3; i++) {
                    assertTrue(fleet.nodes[i].of("b0", "gone").isEmpty(), "seed " + seed + ": it is back at b" + i);
                }
            }
            assertTrue(fleet.equal(), "seed " + seed);
            assertTrue(
                    fleet.nodes[4].of("b0", "gone").isEmpty(),
                    "seed " + seed + ": the one that was away has dropped it");
            assertTrue(
                    fleet.nodes[0].of("b4", "keep").isPresent()
                            && fleet.nodes[4].of("b0", "keep").isPresent(),
                    "what is refreshed lives");
        }
    }

    @Example
    void oneThatStoodStillDropsTheWordsOfOthersAndDoesNotTakeWhatWaitedInItsBuffers() {
        ReplicatedStore words = alone("b0", "b1");
        words.put(Duration.ZERO, "mine", octets("m"));
        StoredEntry other = StoredEntry.of(new VersionedEntry("b1", "theirs", 1, 1, octets("t")), Duration.ZERO);
        byte[] letter = GossipCodec.words(Duration.ZERO, List.of(other));
        words.came(Duration.ZERO, "b1", letter);
        assertTrue(words.of("b1", "theirs").isPresent());
        // Half of the age, by its own clock; or less by it, as it stopped too, and the others say so.
        words.look(Duration.ofSeconds(31));
        assertTrue(words.of("b1", "theirs").isEmpty() && words.of("b0", "mine").isPresent());
        words.came(Duration.ofSeconds(31), "b1", letter);
        assertTrue(words.of("b1", "theirs").isPresent(), "it may have waited for 31 s, which is not too old");
        words.look(Duration.ofSeconds(32));
        words.away(Duration.ofSeconds(33));
        assertTrue(words.of("b1", "theirs").isEmpty() && words.of("b0", "mine").isPresent());
        ReplicatedStore longer = alone("b2", "b1");
        longer.look(Duration.ofSeconds(55));
        longer.came(Duration.ofMillis(55_100), "b1", letter);
        assertTrue(longer.of("b1", "theirs").isEmpty(), "it may have waited for 55 s in a life of 60");
        longer.look(Duration.ofMillis(56_100));
        longer.came(Duration.ofMillis(56_200), "b1", letter);
        assertTrue(longer.of("b1", "theirs").isPresent(), "what comes a second later has not waited");
    }

    @Example
    void wordsOfOneThatDiedAgeOutEverywhereAndThoseOfTheLivingDoNot() {
        ReplicationModel fleet = new ReplicationModel(5, 4, SHORT);
        List<String> gone = new ArrayList<>();
        fleet.nodes[1].hears(new SharedStore.EntryListener() {
            @Override
            public void came(Duration now, VersionedEntry snapshot) {}

            @Override
            public void gone(Duration now, String owner, String topic) {
                gone.add(owner + " " + topic);
            }
        });
        for (int i = 0; i < 4; i++) {
            fleet.nodes[i].put(fleet.clock(i), "count", octets("c"));
        }
        fleet.run(3000);
        fleet.kill(3, 1_000_000, false);
        fleet.run(50_000);
        assertTrue(fleet.nodes[1].of("b3", "count").isPresent(), "its counts are held on");
        fleet.run(15_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    List.of("b0", "b1", "b2"),
                    fleet.nodes[i].all("count").stream()
                            .map(VersionedEntry::owner)
                            .toList());
        }
        assertEquals(List.of("b3 count"), gone);
    }

    @Example
    void oneVersionClaimedTwiceIsSetAsideAndToldOnBothSidesUntilALaterWord() {
        ReplicationModel fleet = new ReplicationModel(6, 4, SHORT);
        List<SharedStore.VersionConflict> heard = new ArrayList<>();
        fleet.nodes[3].hears(new SharedStore.EntryListener() {
            @Override
            public void came(Duration now, VersionedEntry snapshot) {}

            @Override
            public void clashed(Duration now, SharedStore.VersionConflict clash) {
                heard.add(clash);
            }
        });
        fleet.side[2] = fleet.side[3] = 1;
        assertTrue(fleet.nodes[0].pass(fleet.clock(0), new VersionedEntry("site", "table", 4, 7, octets("one"))));
        assertTrue(fleet.nodes[2].pass(fleet.clock(2), new VersionedEntry("site", "table", 4, 7, octets("two"))));
        assertFalse(fleet.nodes[2].pass(fleet.clock(2), new VersionedEntry("site", "table", 4, 6, octets("older"))));
        fleet.run(2000);
        assertTrue(fleet.nodes[1].of("site", "table").isPresent()
                && fleet.nodes[3].of("site", "table").isPresent());
        fleet.heal();
        fleet.run(4000);
        List<String> digests = List.of(StoredEntry.digest(octets("one")), StoredEntry.digest(octets("two"))).stream()
                .sorted()
                .toList();
        SharedStore.VersionConflict clash =
                new SharedStore.VersionConflict("site", "table", 4, 7, digests.get(0), digests.get(1));
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(clash), fleet.nodes[i].clashes(), "at b" + i);
            assertTrue(fleet.nodes[i].of("site", "table").isEmpty()
                    && fleet.nodes[i].all("table").isEmpty());
            assertFalse(
                    fleet.nodes[i].pass(fleet.clock(i), new VersionedEntry("site", "table", 4, 7, octets("one"))),
                    "neither is taken any more");
        }
        assertEquals(List.of(clash), heard);
        assertTrue(fleet.equal());
        assertTrue(fleet.nodes[1].pass(fleet.clock(1), new VersionedEntry("site", "table", 4, 8, octets("three"))));
        fleet.run(4000);
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(), fleet.nodes[i].clashes());
            assertArrayEquals(
                    octets("three"),
                    fleet.nodes[i].of("site", "table").orElseThrow().value());
        }
    }

    @Example
    void oneWhoseDiskIsLostSaysItsWordsAboveThoseOfItsFormerLife() {
        ReplicationModel fleet = new ReplicationModel(8, 3, SHORT);
        for (int k = 0; k < 9; k++) {
            fleet.nodes[0].put(fleet.clock(0), "count", octets("former" + k));
            fleet.run(300);
        }
        fleet.kill(0, 100, true);
        // To its first step, in which nobody tells it anything.
        fleet.run(100);
        assertTrue(fleet.nodes[0].of("b0", "count").isEmpty(), "it has nothing of its own");
        fleet.nodes[0].put(fleet.clock(0), "count", octets("now"));
        fleet.run(4000);
        assertArrayEquals(
                octets("now"), fleet.nodes[2].of("b0", "count").orElseThrow().value());
        assertTrue(fleet.equal());
    }

    // ---- bounds and readers

    @Example
    void wordsTopicsAndOctetsAreBounded() {
        ReplicatedStore words = alone("b0");
        assertFalse(words.put(Duration.ZERO, "t", new byte[VersionedEntry.MOST_OCTETS + 1]));
        assertFalse(words.put(Duration.ZERO, "with space", octets("x")));
        int own = 0;
        while (own < 100 && words.put(Duration.ZERO, "t" + own, new byte[3000])) {
            own++;
        }
        assertEquals(ReplicatedStore.MOST_OWN, own);
        assertFalse(words.put(Duration.ZERO, "t0", new byte[VersionedEntry.MOST_OCTETS])
                && words.put(Duration.ZERO, "t1", new byte[VersionedEntry.MOST_OCTETS])
                && words.put(Duration.ZERO, "t2", new byte[VersionedEntry.MOST_OCTETS])
                && words.put(Duration.ZERO, "t3", new byte[VersionedEntry.MOST_OCTETS])
                && words.put(Duration.ZERO, "t4", new byte[VersionedEntry.MOST_OCTETS])
                && words.put(Duration.ZERO, "t5", new byte[VersionedEntry.MOST_OCTETS]));
        ReplicatedStore full = alone("b1");
        int passed = 0;
        while (passed < 3000
                && full.pass(Duration.ZERO, new VersionedEntry("s" + passed, "table", 1, 1, octets("x")))) {
            passed++;
        }
        assertEquals(EntryTable.MOST, passed);
        assertTrue(
                full.pass(Duration.ZERO, new VersionedEntry("s0", "table", 1, 2, octets("newer"))),
                "what is held goes forward all the same");
        ReplicatedStore wide = alone("b2");
        passed = 0;
        while (passed < 3000
                && wide.pass(
                        Duration.ZERO,
                        new VersionedEntry("s" + passed, "table", 1, 1, new byte[VersionedEntry.MOST_OCTETS]))) {
            passed++;
        }
        assertTrue(passed >= 500 && passed <= 512, "8 MiB: " + passed);
    }

    @Example
    void noLetterAndNoSecondIsOverItsOctets() {
        ReplicatedStore.ReplicationSettings small = new ReplicatedStore.ReplicationSettings(
                Duration.ofMillis(200), 3, Duration.ofSeconds(60), 100 << 10, false);
        ReplicatedStore words = new ReplicatedStore(
                Duration.ZERO,
                "b0",
                1,
                ReplicatedStore.PersistedEntries.NOTHING,
                small,
                () -> List.of("b1", "b2", "b3"),
                new SplittableRandom(7),
                line -> {});
        for (int i = 0; i < 400; i++) {
            words.pass(Duration.ZERO, new VersionedEntry("s" + i, "table", 1, 1, new byte[i % 2 == 0 ? 800 : 15_000]));
        }
        byte[] nothing = GossipCodec.sums(new long[EntryTable.BUCKETS]);
        for (int second = 0; second < 20; second++) {
            long octets = 0;
            for (int k = 0; k < 50; k++) {
                Duration now = Duration.ofMillis(second * 1000L + k * 20L);
                List<OutgoingMessage> out = new ArrayList<>(words.look(now));
                // One that holds nothing asks and asks.
                for (OutgoingMessage lines : words.came(now, "b9", nothing)) {
                    out.add(lines);
                    GossipCodec.VersionList read = (GossipCodec.VersionList) GossipCodec.read(lines.body());
                    out.addAll(words.came(
                            now,
                            "b9",
                            GossipCodec.want(read.lines().stream()
                                    .map(EntryTable.EntryVersion::key)
                                    .limit(50)
                                    .toList())));
                }
                for (OutgoingMessage each : out) {
                    assertTrue(each.body().length <= GossipCodec.MOST);
                    octets += each.body().length;
                }
            }
            assertTrue(octets <= (second == 0 ? 2 : 1) * (100L << 10) + 40_000, second + ": " + octets);
            assertTrue(second > 0 || octets > 50_000, "and it is used: " + octets);
        }
    }
}
