package merlinlever.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.election.LeaderElection;
import merlinlever.membership.MemberTable;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ViewTest {

    private static final ViewSettings STATED = ViewSettings.defaults();

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static TreeSet<String> names(int n) {
        TreeSet<String> names = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            names.add("b" + i);
        }
        return names;
    }

    @Property(tries = 60, seed = "29")
    void eachIsObservedByDistinctOthersAndFewPlacesChange(@ForAll @IntRange(min = 1, max = 120) int n) {
        TreeSet<String> names = names(n);
        ObserverRings rings = new ObserverRings(names);
        int observed = 0;
        for (String name : names) {
            Set<String> observers = rings.observers(name);
            assertEquals(Math.min(ObserverRings.MAX_RINGS, n - 1), observers.size());
            assertFalse(observers.contains(name));
            observers.forEach(observer -> assertTrue(rings.subjects(observer).contains(name)));
            observed += rings.subjects(name).size();
        }
        assertEquals(n * Math.min(ObserverRings.MAX_RINGS, n - 1), observed);
        if (n > 40) {
            TreeSet<String> fewer = new TreeSet<>(names);
            fewer.remove("b7");
            ObserverRings after = new ObserverRings(fewer);
            int changed = 0;
            for (String name : fewer) {
                Set<String> gone = new HashSet<>(rings.observers(name));
                gone.removeAll(after.observers(name));
                changed += gone.size();
            }
            assertTrue(changed <= 4 * ObserverRings.MAX_RINGS, changed + " places changed with one member of " + n);
        }
    }

    @Example
    void aViewComesWholeOrAsADifferenceAndNothingElsePassesForOne() {
        ViewCodec here = new ViewCodec();
        ViewCodec there = new ViewCodec();
        MembershipView first = MembershipView.of(MembershipView.number(3, 1), names(5));
        TreeSet<String> changed = names(6);
        changed.remove("b2");
        MembershipView second = MembershipView.of(MembershipView.number(3, 2), changed);
        here.remember(first);
        here.remember(second);
        assertEquals(first, there.decode(here.encode(first, 0)));
        byte[] difference = here.encode(second, first.number());
        assertNull(there.decode(difference), "the first is not held there");
        there.remember(first);
        assertEquals(second, there.decode(difference));
        assertTrue(difference.length < here.encode(second, 0).length);
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 2000; i++) {
            byte[] spoilt = difference.clone();
            spoilt[chance.nextInt(spoilt.length)] ^= 1 << chance.nextInt(7);
            MembershipView read = ViewCodec.isViewPayload(spoilt) ? there.decode(spoilt) : null;
            assertTrue(
                    read == null || read.equals(second),
                    () -> "passed for a view: " + new String(spoilt, java.nio.charset.StandardCharsets.US_ASCII));
        }
        assertNotEquals(
                MembershipView.of(1, names(3)).digest(),
                MembershipView.of(2, names(3)).digest());
    }

    @Example
    void aWorseStandingIsShownAtOnceAndABetterOneWhenItLasts() {
        QuorumStatusHysteresis bearing = new QuorumStatusHysteresis(ms(0), ms(1000));
        int changes = 0;
        for (int at = 0; at < 20_000; at += 50) {
            changes += bearing.update(ms(at), at / 500 % 2 == 0 ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY) ? 1 : 0;
        }
        assertEquals(1, changes, "it follows neither up and down");
        assertEquals(QuorumStatus.MINORITY, bearing.shown());
        assertFalse(bearing.update(ms(20_000), QuorumStatus.FULL));
        assertTrue(bearing.update(ms(21_050), QuorumStatus.MAJORITY));
        assertTrue(bearing.update(ms(21_100), QuorumStatus.ISOLATED));
    }

    // ---- the cut

    private static final class CutScenario {
        final CutDetector cut = new CutDetector(STATED);
        final MembershipView view;
        final ObserverRings rings;
        final int most;
        int number;

        CutScenario(int n, int voters) {
            view = MembershipView.of(MembershipView.number(1, 1), names(n));
            rings = new ObserverRings(view.members());
            most = voters / 2 + 1;
        }

        /** Each of the tellers tells what it observes of the gone; each 500 ms until then. Returns the first change, and its time in {@code at}. */
        TreeSet<String> play(
                long from, long to, Set<String> mute, java.util.function.BiPredicate<String, String> gone) {
            for (long at = from; at < to; at += 100) {
                if (at % 500 == 0) {
                    number++;
                    for (String name : view.members()) {
                        if (!mute.contains(name)) {
                            List<String> its = new ArrayList<>(rings.subjects(name));
                            its.removeIf(subject -> !gone.test(name, subject));
                            cut.recordReport(ms(at), name, number, view.number(), 0, most, its, ms(4000));
                        }
                    }
                }
                Set<String> next = cut.dueMembers(
                        ms(at),
                        "b0",
                        view,
                        rings,
                        most,
                        name -> new MemberTable.MemberRecord(name, "g", "-", MemberTable.MemberStatus.ALIVE, 0),
                        ms(4000));
                if (next != null) {
                    return new TreeSet<>(next);
                }
            }
            return null;
        }
    }

    @Example
    void oneObserverOrTwoTakeNobodyOutAndMostDo() {
        for (int n : new int[] {5, 9, 40}) {
            CutScenario few = new CutScenario(n, 5);
            int low = ObserverRings.doubtThreshold(few.rings.observers("b3").size());
            List<String> observers = new ArrayList<>(few.rings.observers("b3"));
            assertNull(few.play(
                    0,
                    30_000,
                    Set.of(),
                    (who, whom) -> whom.equals("b3") && observers.indexOf(who) >= 0 && observers.indexOf(who) < low));
            TreeSet<String> without = names(n);
            without.remove("b3");
            assertEquals(
                    without, new CutScenario(n, 5).play(0, 30_000, Set.of("b3"), (who, whom) -> whom.equals("b3")));
        }
    }

    @Example
    void whatFallsTogetherIsOneChangeThoughItIsSeenInPieces() {
        CutScenario some = new CutScenario(40, 5);
        Set<String> dead = Set.of("b10", "b20", "b30");
        // One is seen in full at once; the others are between the marks for two seconds more.
        long[] at = {0};
        TreeSet<String> first = null;
        for (; at[0] < 20_000 && first == null; at[0] += 500) {
            first = some.play(
                    at[0],
                    at[0] + 500,
                    Set.of("b10", "b20", "b30"),
                    (who, whom) -> dead.contains(whom)
                            && (whom.equals("b10")
                                    || at[0] >= 3000
                                    || new ArrayList<>(some.rings.observers(whom)).indexOf(who) < 4));
        }
        TreeSet<String> without = names(40);
        without.removeAll(dead);
        assertEquals(without, first);
    }

    @Example
    void oneThatIsDeafAccusesAllAndTakesNobodyOut() {
        CutScenario all = new CutScenario(3, 3);
        // b2 holds the two others gone, but hears too few voters to be counted; the others hold each other well.
        for (long at = 0; at < 30_000; at += 100) {
            all.number++;
            all.cut.recordReport(ms(at), "b0", all.number, all.view.number(), 0, 3, List.of(), ms(4000));
            all.cut.recordReport(ms(at), "b1", all.number, all.view.number(), 0, 2, List.of("b2"), ms(4000));
            all.cut.recordReport(ms(at), "b2", all.number, all.view.number(), 0, 1, List.of("b0", "b1"), ms(4000));
            assertNull(all.cut.dueMembers(
                    ms(at),
                    "b0",
                    all.view,
                    all.rings,
                    2,
                    name -> new MemberTable.MemberRecord(name, "g", "-", MemberTable.MemberStatus.ALIVE, 0),
                    ms(4000)));
        }
    }

    @Example
    void thoseThatHearTooFewThemselvesAreNotCounted() {
        CutScenario all = new CutScenario(5, 5);
        for (long at = 0; at < 30_000; at += 100) {
            all.number++;
            for (String name : all.view.members()) {
                all.cut.recordReport(
                        ms(at),
                        name,
                        all.number,
                        all.view.number(),
                        0,
                        name.equals("b3") ? 5 : 2,
                        name.equals("b3") ? List.of() : List.of("b3"),
                        ms(4000));
            }
            assertNull(all.cut.dueMembers(
                    ms(at),
                    "b0",
                    all.view,
                    all.rings,
                    3,
                    name -> new MemberTable.MemberRecord(name, "g", "-", MemberTable.MemberStatus.ALIVE, 0),
                    ms(4000)));
        }
    }

    // ---- one sight before words that are none

    @Example
    void wordsAndBodiesThatAreNoneOrOldChangeNothing() {
        SplittableRandom chance = new SplittableRandom(7);
        MemberTable members = new MemberTable("b0", "g0", "-", 1);
        members.merge(new MemberTable.MemberRecord("b1", "g1", "-", MemberTable.MemberStatus.ALIVE, 1));
        List<String> log = new ArrayList<>();
        LeaderElection terms = new LeaderElection(
                ms(0), "b0", List.of("b0", "b1", "b2"), ms(2000), 0.01, 0, term -> true, chance.split(), log::add);
        ViewManager sight =
                new ViewManager(ms(0), STATED, members, terms, 1 << 20, 0, term -> true, chance.split(), log::add);
        MembershipView view = MembershipView.of(MembershipView.number(2, 1), names(3));
        ViewCodec bodies = new ViewCodec();
        sight.receivePayload(ms(50), "b1", bodies.encode(view, 0));
        assertEquals(view, sight.view());
        String[] words = {
            "WQ",
            "WA",
            "WG",
            "WO",
            "WP",
            "WQ/1",
            "WQ/zz/-/0/3/.0.1.99",
            "WA/zzzz/ab/1",
            "WA/!/x/0",
            "WG/0",
            "WG/0/zzzzzzzzzzzzzzzzzzz",
            "WQ/1/x/y/z/./"
        };
        for (int i = 0; i < 3000; i++) {
            String what = words[chance.nextInt(words.length)];
            sight.receive(ms(100), "b" + chance.nextInt(4), chance.nextLong(), what);
            byte[] noise = new byte[chance.nextInt(60)];
            chance.nextBytes(noise);
            sight.receivePayload(ms(100), "b1", noise);
        }
        assertEquals(view, sight.view());
        // An answer to no question is not heard, be it well formed.
        for (int i = 0; i < 200; i++) {
            sight.receive(
                    ms(100),
                    "b1",
                    (1 << 20) + i,
                    "WA/" + Long.toString(view.number(), 36) + "/" + view.digest() + "/0");
        }
        assertTrue(sight.json(ms(100)).contains("\"hears\":[]"), sight.json(ms(100)));
        // An older view, and another under the same number.
        sight.receivePayload(ms(200), "b1", bodies.encode(MembershipView.of(MembershipView.number(1, 9), names(2)), 0));
        sight.receivePayload(ms(200), "b2", bodies.encode(MembershipView.of(view.number(), names(2)), 0));
        assertEquals(view, sight.view());
        assertTrue(sight.json(ms(200)).contains("\"clashes\":1"), sight.json(ms(200)));
    }

    @Example
    void aNewStartTakesNothingThatALifeBeforeMayHaveBeenBeyond() {
        SplittableRandom chance = new SplittableRandom(8);
        long[] disk = {4};
        LeaderElection terms = new LeaderElection(
                ms(0), "b0", List.of("b0", "b1", "b2"), ms(2000), 0.01, 4, term -> true, chance.split(), line -> {});
        ViewManager sight = new ViewManager(
                ms(0),
                STATED,
                new MemberTable("b0", "g0", "-", 1),
                terms,
                1,
                4,
                term -> term <= disk[0],
                chance.split(),
                line -> {});
        ViewCodec bodies = new ViewCodec();
        sight.receivePayload(ms(50), "b1", bodies.encode(MembershipView.of(MembershipView.number(4, 2), names(3)), 0));
        sight.tick(ms(100));
        assertEquals(MembershipView.NONE, sight.view(), "of the term on the disk, told by one that does not lead it");
        sight.receivePayload(ms(150), "b1", bodies.encode(MembershipView.of(MembershipView.number(5, 1), names(3)), 0));
        sight.tick(ms(200));
        assertEquals(MembershipView.NONE, sight.view(), "its term is not on the disk yet");
        disk[0] = 5;
        sight.tick(ms(250));
        assertEquals(MembershipView.number(5, 1), sight.view().number());
    }

    @Example
    void theTableLetsNobodyDecideWhoMayNotAndEachActHasALine() {
        for (GuardedAction act : GuardedAction.values()) {
            for (QuorumStatus standing : QuorumStatus.values()) {
                assertTrue(ActionPermissions.permission(act, standing) != null);
            }
        }
        for (QuorumStatus standing : new QuorumStatus[] {
            QuorumStatus.MINORITY, QuorumStatus.ISOLATED, QuorumStatus.CONFLICTING, QuorumStatus.RECOVERING
        }) {
            assertEquals(ActionPermissions.Permission.DENIED, ActionPermissions.permission(GuardedAction.DECIDE, standing));
            assertEquals(ActionPermissions.Permission.DENIED, ActionPermissions.permission(GuardedAction.GRANT_QUOTA, standing));
            assertEquals(ActionPermissions.Permission.ALLOWED, ActionPermissions.permission(GuardedAction.ADOPT_RESTRICTION, standing));
        }
        assertEquals(
                ActionPermissions.Permission.DENIED, ActionPermissions.permission(GuardedAction.USE_ADOPTED, QuorumStatus.RECOVERING));
    }
}
