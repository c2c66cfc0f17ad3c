package merlinlever.fleet.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RecoverySequenceTest {

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final long NOON = 1_800_000_000_000L;
    private static final String OWNER = "b-1@127.0.0.1:1";
    private static final long STEP_MS = 50;

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static PersistedState writtenAt(long unixMs) {
        return new PersistedState(OWNER, 64, 3, unixMs + 3000, unixMs, 12.5, List.of("127.0.0.1:2"));
    }

    private static RecoverySequence start(TrustedState trusted, long unixNow, long seed) {
        return new RecoverySequence(
                Duration.ZERO,
                unixNow,
                trusted,
                RecoverySettings.defaults(WINDOW, Duration.ofSeconds(1)),
                true,
                new SplittableRandom(seed));
    }

    private static RecoverySequence start(LoadedState loaded, long unixNow) {
        return start(PersistedStateAssessor.assess(loaded, OWNER, unixNow), unixNow, 5);
    }

    private static RecoverySequence startAfterNoon(long downMs) {
        return start(LoadedState.of(writtenAt(NOON)), NOON + downMs);
    }

    /**
     * Peers that answer each query.
     *
     * @param unixAtZero the Unix clock of the recovering process at its start
     * @param clockLeadMs by how much the peers' clocks are ahead of that one
     * @param roundTripMs from a query to its answer
     */
    private record Peers(long unixAtZero, long clockLeadMs, long roundTripMs, List<String> names) {

        private record Answer(long atMs, PeerQuery query) {}

        static Peers inTime(long unixAtZero, String... names) {
            return new Peers(unixAtZero, 0, 100, List.of(names));
        }

        void answer(RecoverySequence sequence, long fromMs, long untilMs) {
            List<Answer> pending = new ArrayList<>();
            for (long now = fromMs; now <= untilMs; now += STEP_MS) {
                for (String name : names) {
                    sequence.peerStatusChanged(ms(now), name, true);
                }
                for (Answer answer : pending) {
                    if (answer.atMs == now) {
                        PeerReport report = new PeerReport(
                                unixAtZero + now - roundTripMs / 2 + clockLeadMs, RecoveryStage.WARM, 30);
                        sequence.reportReceived(
                                ms(now), unixAtZero + now, answer.query.peer(), answer.query.correlationId(), report);
                    }
                }
                for (PeerQuery query : sequence.dueQueries(ms(now))) {
                    if (names.contains(query.peer())) {
                        pending.add(new Answer(now + roundTripMs, query));
                    }
                }
            }
        }
    }

    /** What the process finds on its disk. */
    private enum Disk {
        EMPTY,
        CORRUPT,
        FOREIGN,
        OWN;

        TrustedState assess(long unixNow) {
            return switch (this) {
                case EMPTY -> PersistedStateAssessor.assess(LoadedState.absent(), OWNER, unixNow);
                case CORRUPT -> PersistedStateAssessor.assess(LoadedState.corrupt("spoilt"), OWNER, unixNow);
                case FOREIGN -> PersistedStateAssessor.assess(
                        LoadedState.of(writtenAt(NOON)), "b-2@127.0.0.1:2", unixNow);
                case OWN -> PersistedStateAssessor.assess(LoadedState.of(writtenAt(NOON)), OWNER, unixNow);
            };
        }
    }

    /**
     * Whatever was left on the disk and whatever the clocks did: the window of a non-idempotent request that the incarnation
     * before started at its last moment is over before any is admitted again. The clock may have been set in either
     * direction across the outage; that it was set forward is found out from the peers alone.
     */
    @Property(tries = 2000, seed = "26")
    void noDuplicateOfThePreviousIncarnationIsAdmittedWithinItsWindow(
            @ForAll @LongRange(min = 0, max = 20_000) long downMs,
            @ForAll @LongRange(min = 0, max = 3000) long lastStartAfterReservationMs,
            @ForAll @LongRange(min = -60_000, max = 60_000) long clockStepMs,
            @ForAll @IntRange(min = 0, max = 3) int disk) {
        // The incarnation before wrote its last reservation at NOON and started requests until so long after; it died
        // no
        // earlier.
        long diedAt = NOON + lastStartAfterReservationMs;
        long startedAt = diedAt + downMs;
        TrustedState trusted = Disk.values()[disk].assess(startedAt + clockStepMs);
        RecoverySequence sequence = start(trusted, startedAt + clockStepMs, downMs);
        new Peers(startedAt + clockStepMs, -clockStepMs, 100, List.of("b-3", "b-4", "b-5")).answer(sequence, 0, 1500);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage());
        long admittedFrom =
                startedAt + sequence.nonIdempotentAdmittedFrom(ms(1500)).toMillis();
        // A clock that is off by under a second is not told apart from the time a message takes.
        long undetectedStepMs = Math.abs(clockStepMs) <= 1200 ? Math.max(0, clockStepMs) : 0;
        assertTrue(
                admittedFrom >= NOON + lastStartAfterReservationMs + WINDOW.toMillis() - undetectedStepMs,
                "down " + downMs + ", last start " + lastStartAfterReservationMs
                        + " after the reservation, clock set by "
                        + clockStepMs + ", disk " + Disk.values()[disk] + ": admitted from " + (admittedFrom - NOON)
                        + " after the reservation");
        assertTrue(
                sequence.nonIdempotentAdmittedFrom(ms(1500)).compareTo(WINDOW.plus(ms(200))) <= 0,
                "and never delayed for longer than a window after the start");
    }

    @Test
    void afterALongOutageNonIdempotentRequestsAreAdmittedAtOnce() {
        RecoverySequence sequence = startAfterNoon(60_000);
        Peers.inTime(NOON + 60_000, "b-3").answer(sequence, 0, 1500);
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(1500)).isNegative());
        sequence.serviceWarmedUp(ms(1500));
        assertEquals(RecoveryStage.WARM, sequence.stage());
    }

    @Test
    void afterAShortOutageTheRestOfTheWindowIsWaitedFor() {
        RecoverySequence sequence = startAfterNoon(4000);
        Peers.inTime(NOON + 4000, "b-3").answer(sequence, 0, 1500);
        assertEquals(
                ms(3000 + 4000 - 4000 + 100),
                sequence.nonIdempotentAdmittedFrom(ms(1500)),
                "a reservation that reached 3 s ahead, and the window");
        sequence.serviceWarmedUp(ms(1500));
        assertEquals(RecoveryStage.RECONCILED, sequence.stage(), "not warm while non-idempotent requests wait");
    }

    @Test
    void withoutPeersOnlyIdempotentRequestsAreAdmittedAndTheIsolationIsReportedOnce() {
        RecoverySequence sequence = startAfterNoon(60_000);
        for (long now = 0; now <= 20_000; now += STEP_MS) {
            assertTrue(sequence.dueQueries(ms(now)).isEmpty(), "there is no peer to be queried");
            assertTrue(sequence.nonIdempotentAdmittedFrom(ms(now)).compareTo(ms(now)) > 0);
        }
        assertEquals(RecoveryStage.COLD, sequence.stage());
        List<RecoveryEvent> events = sequence.takeEvents();
        assertEquals(1, events.size());
        assertTrue(
                events.get(0).toLogLine().startsWith("no-peer-reached stage=cold waited_ms=3000 "),
                events.get(0).toLogLine());
        Peers.inTime(NOON + 60_000, "b-3").answer(sequence, 20_000, 21_500);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage(), "the partition is over");
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(21_500)).isNegative());
    }

    @Test
    void aSlowLinkToTheOnlyPeerIsWaitedForAndQueriedLessAndLessOften() {
        RecoverySequence sequence = startAfterNoon(60_000);
        int queries = 0;
        for (long now = 0; now < 9000; now += STEP_MS) {
            sequence.peerStatusChanged(ms(now), "b-3", true);
            queries += sequence.dueQueries(ms(now)).size();
            assertTrue(sequence.stage() == RecoveryStage.COLD || sequence.stage() == RecoveryStage.REJOINED);
        }
        assertTrue(queries >= 4 && queries <= 10, queries + " queries in 9 s");
        new Peers(NOON + 60_000, 0, 2500, List.of("b-3")).answer(sequence, 9000, 15_000);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage(), "an answer that took 2.5 s counts");
    }

    @Test
    void aDeadPeerIsNotWaitedForBeyondTheTimeoutOnceAMajorityHasReported() {
        RecoverySequence sequence = startAfterNoon(60_000);
        sequence.peerStatusChanged(ms(0), "b-9", true);
        Peers answering = Peers.inTime(NOON + 60_000, "b-3", "b-4");
        answering.answer(sequence, 0, 2900);
        assertEquals(RecoveryStage.REJOINED, sequence.stage());
        answering.answer(sequence, 2950, 3100);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage());
    }

    @Test
    void aNameConflictHoldsNonIdempotentRequestsUntilTheOtherProcessIsSilent() {
        RecoverySequence sequence = startAfterNoon(60_000);
        Peers.inTime(NOON + 60_000, "b-3").answer(sequence, 0, 1500);
        sequence.nameConflictObserved(ms(2000));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(2000)).compareTo(ms(2000)) > 0);
        sequence.dueQueries(ms(11_950));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(11_950)).compareTo(ms(11_950)) > 0);
        sequence.dueQueries(ms(12_000));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(12_000)).isNegative());
    }

    @Test
    void aReportThatAnswersNoQueryChangesNothing() {
        RecoverySequence sequence = start(LoadedState.absent(), NOON);
        sequence.peerStatusChanged(ms(0), "b-3", true);
        PeerReport report = new PeerReport(NOON, RecoveryStage.WARM, 30);
        sequence.reportReceived(ms(0), NOON, "b-3", 77, report);
        sequence.reportReceived(ms(0), NOON, "b-8", 77, report);
        assertEquals(0, sequence.peerCounts().reported());
    }

    @Test
    void aCapacityLearnedByPeersCountsLess() {
        RecoverySequence sequence = start(LoadedState.absent(), NOON);
        Peers.inTime(NOON, "b-3").answer(sequence, 0, 1500);
        assertEquals(30, sequence.capacityEstimate());
        assertEquals(2, sequence.estimateWeight());
    }
}
