package merlinlever.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.faults.TestDirectories;
import merlinlever.faults.disk.CrashStates;
import merlinlever.faults.disk.StateRestorer;
import merlinlever.recovery.disk.RecoveryFile;
import merlinlever.storage.FileStateDirectory;
import merlinlever.storage.RecordingStateDirectory;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class RecoverySequenceTest {

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final long NOON = 1_800_000_000_000L;

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static PersistedState left(long wroteAt) {
        return new PersistedState("b-1@127.0.0.1:1", 64, 3, wroteAt + 3000, wroteAt, 12.5, List.of("127.0.0.1:2"));
    }

    private static RecoverySequence begin(PersistedState left, long unixNow, String owner) {
        return new RecoverySequence(
                Duration.ZERO,
                unixNow,
                PersistedStateAssessor.assess(left, null, owner, unixNow),
                RecoverySequence.RecoverySettings.defaults(WINDOW),
                true,
                new SplittableRandom(5));
    }

    /** All that is alive answers what it is asked, its clock ahead by so much, after so long; until that moment. */
    private static void answers(
            RecoverySequence order,
            long fromMs,
            long untilMs,
            long unixAtZero,
            long aheadMs,
            long tookMs,
            String... names) {
        List<long[]> coming = new ArrayList<>();
        List<String> who = new ArrayList<>();
        for (long now = fromMs; now <= untilMs; now += 50) {
            for (String name : names) {
                order.peerStatusChanged(ms(now), name, true);
            }
            for (int i = 0; i < coming.size(); i++) {
                if (coming.get(i)[0] == now) {
                    order.reportReceived(
                            ms(now),
                            unixAtZero + now,
                            who.get(i),
                            coming.get(i)[1],
                            new RecoverySequence.PeerReport(
                                    unixAtZero + now - tookMs / 2 + aheadMs, RecoverySequence.RecoveryStage.WARM, 30));
                }
            }
            for (RecoverySequence.PeerQuery ask : order.dueQueries(ms(now))) {
                if (List.of(names).contains(ask.peer())) {
                    coming.add(new long[] {now + tookMs, ask.correlationId()});
                    who.add(ask.peer());
                }
            }
        }
    }

    /**
     * Whatever the disk was left with and whatever the clocks did, keyed work of the life before, begun at its last
     * moment, has its whole window behind it before any is taken again. The clock may have been set in either direction
     * across the outage; forward is found out by the others alone.
     */
    @Property(tries = 2000, seed = "26")
    void noRepeatOfTheLifeBeforeIsTakenWithinItsWindow(
            @ForAll @LongRange(min = 0, max = 20_000) long down,
            @ForAll @LongRange(min = 0, max = 3000) long lastBegunAfterMark,
            @ForAll @LongRange(min = -60_000, max = 60_000) long set,
            @ForAll @IntRange(min = 0, max = 3) int disk) {
        // The life before wrote its last mark at NOON and began keyed work until so long after; it died no earlier.
        long died = NOON + lastBegunAfterMark;
        long began = died + down;
        PersistedState memory = disk == 0 ? null : left(NOON);
        PersistedStateAssessor.TrustedState verdict = PersistedStateAssessor.assess(
                disk == 1 ? null : memory,
                disk == 1 ? "spoilt" : null,
                disk == 2 ? "b-2@127.0.0.1:2" : "b-1@127.0.0.1:1",
                began + set);
        RecoverySequence order = new RecoverySequence(
                Duration.ZERO,
                began + set,
                verdict,
                RecoverySequence.RecoverySettings.defaults(WINDOW),
                true,
                new SplittableRandom(down));
        answers(order, 0, 1500, began + set, -set, 100, "b-3", "b-4", "b-5");
        assertEquals(RecoverySequence.RecoveryStage.RECONCILED, order.stage());
        long realFrom = began + order.nonIdempotentAdmittedFrom(ms(1500)).toMillis();
        // A clock that is off by under a second is not told apart from the time a message takes.
        long unseen = Math.abs(set) <= 1200 ? Math.max(0, set) : 0;
        assertTrue(
                realFrom >= NOON + lastBegunAfterMark + WINDOW.toMillis() - unseen,
                "down " + down + ", begun " + lastBegunAfterMark + " after the mark, set " + set + ", disk " + disk
                        + ": taken from " + (realFrom - NOON) + " after the mark");
        assertTrue(
                order.nonIdempotentAdmittedFrom(ms(1500)).compareTo(WINDOW.plus(ms(200))) <= 0,
                "and never held longer than a window after the start");
    }

    @Example
    void aLongOutageHasTheWindowBehindItAndAShortOneWaitsForTheRest() {
        RecoverySequence longOne = begin(left(NOON), NOON + 60_000, "b-1@127.0.0.1:1");
        answers(longOne, 0, 1500, NOON + 60_000, 0, 100, "b-3");
        assertTrue(longOne.nonIdempotentAdmittedFrom(ms(1500)).isNegative(), "keyed work is taken at once");
        longOne.fullSpeedReached(ms(1500));
        assertEquals(RecoverySequence.RecoveryStage.WARM, longOne.stage());
        RecoverySequence shortOne = begin(left(NOON), NOON + 4000, "b-1@127.0.0.1:1");
        answers(shortOne, 0, 1500, NOON + 4000, 0, 100, "b-3");
        assertEquals(
                ms(3000 + 4000 - 4000 + 100),
                shortOne.nonIdempotentAdmittedFrom(ms(1500)),
                "a mark that reached 3 s ahead, and the window");
        shortOne.fullSpeedReached(ms(1500));
        assertEquals(RecoverySequence.RecoveryStage.RECONCILED, shortOne.stage(), "not warm while keyed work waits");
    }

    @Example
    void aloneItServesWhatItSafelyCanAndSaysSo() {
        RecoverySequence order = begin(left(NOON), NOON + 60_000, "b-1@127.0.0.1:1");
        for (long now = 0; now <= 20_000; now += 50) {
            assertTrue(order.dueQueries(ms(now)).isEmpty(), "nobody is there to be asked");
            assertTrue(order.nonIdempotentAdmittedFrom(ms(now)).compareTo(ms(now)) > 0, "keyed work waits");
        }
        assertEquals(RecoverySequence.RecoveryStage.COLD, order.stage());
        List<RecoverySequence.RecoveryEvent> steps = order.takeEvents();
        assertEquals(1, steps.size());
        assertTrue(
                steps.get(0).description().startsWith("no other is reached after 3000 ms"),
                steps.get(0).description());
        answers(order, 20_000, 21_500, NOON + 60_000, 0, 100, "b-3");
        assertEquals(RecoverySequence.RecoveryStage.RECONCILED, order.stage(), "the partition is over");
        assertTrue(order.nonIdempotentAdmittedFrom(ms(21_500)).isNegative());
    }

    @Example
    void aSlowLinkToTheOnlyOtherIsWaitedForAndAskedLessAndLess() {
        RecoverySequence order = begin(left(NOON), NOON + 60_000, "b-1@127.0.0.1:1");
        int asked = 0;
        for (long now = 0; now < 9000; now += 50) {
            order.peerStatusChanged(ms(now), "b-3", true);
            asked += order.dueQueries(ms(now)).size();
            assertTrue(order.stage() == RecoverySequence.RecoveryStage.COLD
                    || order.stage() == RecoverySequence.RecoveryStage.REJOINED);
        }
        assertTrue(asked >= 4 && asked <= 10, "asked " + asked + " times in 9 s");
        answers(order, 9000, 15_000, NOON + 60_000, 0, 2500, "b-3");
        assertEquals(RecoverySequence.RecoveryStage.RECONCILED, order.stage(), "an answer that took 2.5 s counts");
    }

    @Example
    void oneThatDiedIsNotWaitedForLongerThanThePatienceWhereMostHaveTold() {
        RecoverySequence order = begin(left(NOON), NOON + 60_000, "b-1@127.0.0.1:1");
        order.peerStatusChanged(ms(0), "b-9", true);
        answers(order, 0, 2900, NOON + 60_000, 0, 100, "b-3", "b-4");
        assertEquals(RecoverySequence.RecoveryStage.REJOINED, order.stage());
        answers(order, 2950, 3100, NOON + 60_000, 0, 100, "b-3", "b-4");
        assertEquals(RecoverySequence.RecoveryStage.RECONCILED, order.stage());
    }

    @Example
    void anotherUnderItsNameHoldsKeyedWorkUntilItIsSilent() {
        RecoverySequence order = begin(left(NOON), NOON + 60_000, "b-1@127.0.0.1:1");
        answers(order, 0, 1500, NOON + 60_000, 0, 100, "b-3");
        order.nameConflictObserved(ms(2000));
        assertTrue(order.nonIdempotentAdmittedFrom(ms(2000)).compareTo(ms(2000)) > 0);
        order.dueQueries(ms(11_950));
        assertTrue(order.nonIdempotentAdmittedFrom(ms(11_950)).compareTo(ms(11_950)) > 0);
        order.dueQueries(ms(12_000));
        assertTrue(order.nonIdempotentAdmittedFrom(ms(12_000)).isNegative());
    }

    @Example
    void anAnswerToNoQuestionChangesNothingAndAGuessOfOthersCountsLeast() {
        RecoverySequence order = begin(null, NOON, "b-1@127.0.0.1:1");
        order.peerStatusChanged(ms(0), "b-3", true);
        order.reportReceived(
                ms(0), NOON, "b-3", 77, new RecoverySequence.PeerReport(NOON, RecoverySequence.RecoveryStage.WARM, 30));
        order.reportReceived(
                ms(0), NOON, "b-8", 77, new RecoverySequence.PeerReport(NOON, RecoverySequence.RecoveryStage.WARM, 30));
        assertEquals(0, order.peerCounts()[1]);
        answers(order, 0, 1500, NOON, 0, 100, "b-3");
        assertEquals(30, order.capacityEstimate());
        assertEquals(2, order.estimateWeight());
        PersistedStateAssessor.TrustedState aged =
                PersistedStateAssessor.assess(left(NOON), null, "b-1@127.0.0.1:1", NOON + 600_000);
        assertEquals(2.0, aged.estimateWeight(), 1e-9, "two half-lives after its last note");
        assertEquals(65, aged.incarnation());
        assertEquals(
                65,
                PersistedStateAssessor.assess(left(NOON), null, "other@127.0.0.1:1", NOON)
                        .incarnation(),
                "a floor may be another's");
    }

    /** Every state that a power loss may leave of a day of notes: the last that was forced, or the one under way; never spoilt. */
    @Example
    void whatIsReadAfterAPowerLossWasForcedOrUnderWay() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-recovery");
        try {
            List<String> lines = new ArrayList<>();
            List<PersistedState> written = new ArrayList<>();
            List<Integer> returnedAt = new ArrayList<>();
            try (RecordingStateDirectory folder = new RecordingStateDirectory(
                    new FileStateDirectory(root.resolve("day")), TestDirectories.into(lines), "day")) {
                RecoveryFile store = new RecoveryFile(folder);
                for (int i = 0; i < 200; i++) {
                    PersistedState memory = new PersistedState(
                            "b-1@127.0.0.1:1",
                            64 + i / 10,
                            i / 20,
                            NOON + i * 1000L + 3000,
                            NOON + i * 1000L,
                            i / 2.0,
                            List.of("127.0.0.1:" + (i + 1)));
                    store.write(memory);
                    written.add(memory);
                    returnedAt.add(lines.size());
                }
            }
            int[] n = {0};
            int told = CrashStates.of(String.join("\n", lines) + "\n").each(state -> {
                int done = 0;
                while (done < returnedAt.size() && returnedAt.get(done) <= state.cut()) {
                    done++;
                }
                Path at = root.resolve("state");
                try {
                    StateRestorer.into(at, state);
                    RecoveryFile.LoadResult found;
                    try (FileStateDirectory folder = new FileStateDirectory(at)) {
                        found = new RecoveryFile(folder).read();
                    }
                    PersistedState last = done == 0 ? null : written.get(done - 1);
                    PersistedState next = done < written.size() ? written.get(done) : last;
                    assertEquals(null, found.corruption(), "cut " + state.cut() + ", " + state.how());
                    assertTrue(
                            found.state() == null
                                    ? last == null
                                    : found.state().equals(last)
                                            || found.state().equals(next),
                            "cut " + state.cut() + ", " + state.how() + ": " + found.state());
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
                n[0]++;
            });
            assertEquals(told, n[0]);
            assertTrue(told >= 600, "states: " + told);
        } finally {
            TestDirectories.remove(root);
        }
    }

    @Property(tries = 500, seed = "27")
    void aFlippedBitOrATornFileIsToldAndThrownAway(
            @ForAll @IntRange(min = 0, max = 10_000) int at, @ForAll boolean tear) {
        byte[] octets = RecoveryFile.encode(left(NOON));
        if (tear) {
            octets = java.util.Arrays.copyOf(octets, at % octets.length);
        } else {
            octets[at % octets.length] ^= (byte) (1 << at % 7);
        }
        RecoveryFile.LoadResult found = RecoveryFile.decode(octets);
        assertEquals(null, found.state());
        assertTrue(found.corruption() != null);
        PersistedStateAssessor.TrustedState verdict =
                PersistedStateAssessor.assess(null, found.corruption(), "b-1@127.0.0.1:1", NOON);
        assertEquals(PersistedStateAssessor.UNKNOWN, verdict.nonIdempotentUntilUnixMs());
        assertTrue(verdict.findings().stream()
                .allMatch(finding -> finding.disposition() == PersistedStateAssessor.Disposition.THROWN_AWAY));
    }
}
