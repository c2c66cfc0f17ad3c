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
    private static final long WRITTEN_AT_UNIX_MS = 1_800_000_000_000L;
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

    private static RecoverySequence startAfterOutage(long downMs) {
        return start(LoadedState.of(writtenAt(WRITTEN_AT_UNIX_MS)), WRITTEN_AT_UNIX_MS + downMs);
    }

    /**
     * Peers that answer every query.
     *
     * @param unixAtStart the Unix clock of the recovering process at its start
     * @param clockOffsetMs offset of the peers' clocks from the clock of the recovering process
     * @param roundTripMs time from a query to its answer
     */
    private record Peers(long unixAtStart, long clockOffsetMs, long roundTripMs, List<String> names) {

        private record Answer(long atMs, PeerQuery query) {}

        static Peers withSameClock(long unixAtStart, String... names) {
            return new Peers(unixAtStart, 0, 100, List.of(names));
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
                                unixAtStart + now - roundTripMs / 2 + clockOffsetMs, RecoveryStage.WARM, 30);
                        sequence.reportReceived(
                                ms(now), unixAtStart + now, answer.query.peer(), answer.query.correlationId(), report);
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

    /** The persisted state that the process finds at its start. */
    private enum DiskContent {
        EMPTY,
        CORRUPT,
        FOREIGN,
        OWN;

        TrustedState assess(long unixNow) {
            return switch (this) {
                case EMPTY -> PersistedStateAssessor.assess(LoadedState.absent(), OWNER, unixNow);
                case CORRUPT -> PersistedStateAssessor.assess(LoadedState.corrupt("corrupt"), OWNER, unixNow);
                case FOREIGN -> PersistedStateAssessor.assess(
                        LoadedState.of(writtenAt(WRITTEN_AT_UNIX_MS)), "b-2@127.0.0.1:2", unixNow);
                case OWN -> PersistedStateAssessor.assess(
                        LoadedState.of(writtenAt(WRITTEN_AT_UNIX_MS)), OWNER, unixNow);
            };
        }
    }

    /**
     * The idempotency window of the last request of the previous incarnation ends before non-idempotent requests are
     * admitted again, for each content of the disk and each change of the clock during the outage. Only peers reveal a
     * clock that was set forward.
     */
    @Property(tries = 2000, seed = "26")
    void noDuplicateOfARequestOfThePreviousIncarnationIsAdmittedWithinItsWindow(
            @ForAll @LongRange(min = 0, max = 20_000) long downMs,
            @ForAll @LongRange(min = 0, max = 3000) long lastStartAfterReservationMs,
            @ForAll @LongRange(min = -60_000, max = 60_000) long clockStepMs,
            @ForAll @IntRange(min = 0, max = 3) int diskContent) {
        // The previous incarnation wrote its last reservation at WRITTEN_AT_UNIX_MS, and crashed immediately
        // after the start of its last request.
        long crashedAt = WRITTEN_AT_UNIX_MS + lastStartAfterReservationMs;
        long startedAt = crashedAt + downMs;
        TrustedState trusted = DiskContent.values()[diskContent].assess(startedAt + clockStepMs);
        RecoverySequence sequence = start(trusted, startedAt + clockStepMs, downMs);
        new Peers(startedAt + clockStepMs, -clockStepMs, 100, List.of("b-3", "b-4", "b-5")).answer(sequence, 0, 1500);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage());
        long admittedFrom =
                startedAt + sequence.nonIdempotentAdmittedFrom(ms(1500)).toMillis();
        // A small clock step is tolerated, as it cannot be distinguished from the delay of a message.
        long undetectedStepMs = Math.abs(clockStepMs) <= 1200 ? Math.max(0, clockStepMs) : 0;
        assertTrue(
                admittedFrom >= WRITTEN_AT_UNIX_MS + lastStartAfterReservationMs + WINDOW.toMillis() - undetectedStepMs,
                "down " + downMs + ", last start " + lastStartAfterReservationMs
                        + " after the reservation, clock set by "
                        + clockStepMs + ", disk " + DiskContent.values()[diskContent] + ": admitted from "
                        + (admittedFrom - WRITTEN_AT_UNIX_MS)
                        + " after the reservation");
        assertTrue(
                sequence.nonIdempotentAdmittedFrom(ms(1500)).compareTo(WINDOW.plus(ms(200))) <= 0,
                "the delay after the start is at most one window");
    }

    @Test
    void afterALongOutageNonIdempotentRequestsAreAdmittedAtOnce() {
        RecoverySequence sequence = startAfterOutage(60_000);
        Peers.withSameClock(WRITTEN_AT_UNIX_MS + 60_000, "b-3").answer(sequence, 0, 1500);
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(1500)).isNegative());
        sequence.serviceWarmedUp(ms(1500));
        assertEquals(RecoveryStage.WARM, sequence.stage());
    }

    @Test
    void afterAShortOutageNonIdempotentRequestsWaitForTheEndOfTheWindow() {
        RecoverySequence sequence = startAfterOutage(4000);
        Peers.withSameClock(WRITTEN_AT_UNIX_MS + 4000, "b-3").answer(sequence, 0, 1500);
        assertEquals(
                ms(3000 + 4000 - 4000 + 100),
                sequence.nonIdempotentAdmittedFrom(ms(1500)),
                "end of the reservation (3 s after the write) plus the window");
        sequence.serviceWarmedUp(ms(1500));
        assertEquals(
                RecoveryStage.RECONCILED,
                sequence.stage(),
                "the process is not warm while non-idempotent requests wait");
    }

    @Test
    void withoutPeersOnlyIdempotentRequestsAreAdmittedAndTheIsolationIsReportedOnce() {
        RecoverySequence sequence = startAfterOutage(60_000);
        for (long now = 0; now <= 20_000; now += STEP_MS) {
            assertTrue(sequence.dueQueries(ms(now)).isEmpty(), "no peer is known");
            assertTrue(sequence.nonIdempotentAdmittedFrom(ms(now)).compareTo(ms(now)) > 0);
        }
        assertEquals(RecoveryStage.COLD, sequence.stage());
        List<RecoveryEvent> events = sequence.takeEvents();
        assertEquals(1, events.size());
        assertTrue(
                events.get(0).toLogLine().startsWith("no-peer-reached stage=cold waited_ms=3000 "),
                events.get(0).toLogLine());
        Peers.withSameClock(WRITTEN_AT_UNIX_MS + 60_000, "b-3").answer(sequence, 20_000, 21_500);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage(), "a peer has answered after the partition");
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(21_500)).isNegative());
    }

    @Test
    void theOnlyPeerIsAwaitedOverASlowLinkAndQueriedWithIncreasingDelays() {
        RecoverySequence sequence = startAfterOutage(60_000);
        int queries = 0;
        for (long now = 0; now < 9000; now += STEP_MS) {
            sequence.peerStatusChanged(ms(now), "b-3", true);
            queries += sequence.dueQueries(ms(now)).size();
            assertTrue(sequence.stage() == RecoveryStage.COLD || sequence.stage() == RecoveryStage.REJOINED);
        }
        assertTrue(queries >= 4 && queries <= 10, queries + " queries in 9 s");
        new Peers(WRITTEN_AT_UNIX_MS + 60_000, 0, 2500, List.of("b-3")).answer(sequence, 9000, 15_000);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage(), "an answer that took 2.5 s counts");
    }

    @Test
    void aDeadPeerIsNotAwaitedAfterTheTimeoutIfAMajorityHasReported() {
        RecoverySequence sequence = startAfterOutage(60_000);
        sequence.peerStatusChanged(ms(0), "b-9", true);
        Peers answering = Peers.withSameClock(WRITTEN_AT_UNIX_MS + 60_000, "b-3", "b-4");
        answering.answer(sequence, 0, 2900);
        assertEquals(RecoveryStage.REJOINED, sequence.stage());
        answering.answer(sequence, 2950, 3100);
        assertEquals(RecoveryStage.RECONCILED, sequence.stage());
    }

    @Test
    void aNameConflictDelaysNonIdempotentRequestsUntilTheOtherProcessIsSilent() {
        RecoverySequence sequence = startAfterOutage(60_000);
        Peers.withSameClock(WRITTEN_AT_UNIX_MS + 60_000, "b-3").answer(sequence, 0, 1500);
        sequence.nameConflictObserved(ms(2000));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(2000)).compareTo(ms(2000)) > 0);
        sequence.dueQueries(ms(11_950));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(11_950)).compareTo(ms(11_950)) > 0);
        sequence.dueQueries(ms(12_000));
        assertTrue(sequence.nonIdempotentAdmittedFrom(ms(12_000)).isNegative());
    }

    @Test
    void aReportWithoutAPendingQueryIsIgnored() {
        RecoverySequence sequence = start(LoadedState.absent(), WRITTEN_AT_UNIX_MS);
        sequence.peerStatusChanged(ms(0), "b-3", true);
        PeerReport report = new PeerReport(WRITTEN_AT_UNIX_MS, RecoveryStage.WARM, 30);
        sequence.reportReceived(ms(0), WRITTEN_AT_UNIX_MS, "b-3", 77, report);
        sequence.reportReceived(ms(0), WRITTEN_AT_UNIX_MS, "b-8", 77, report);
        assertEquals(0, sequence.peerCounts().reported());
    }

    @Test
    void aCapacityEstimateOfPeersHasALowWeight() {
        RecoverySequence sequence = start(LoadedState.absent(), WRITTEN_AT_UNIX_MS);
        Peers.withSameClock(WRITTEN_AT_UNIX_MS, "b-3").answer(sequence, 0, 1500);
        assertEquals(30, sequence.capacityEstimate());
        assertEquals(2, sequence.estimateWeight());
    }
}
