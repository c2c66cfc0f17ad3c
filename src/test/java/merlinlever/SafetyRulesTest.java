package merlinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.policy.OverloadController;
import net.jqwik.api.Example;

/** Each guard of the four rules and each failure met on the bench, by itself. */
class SafetyRulesTest {

    private ControllerFixture server = new ControllerFixture();

    @Example
    void aRunStillGoingIsBrokenOffAtItsClientTimeout() {
        RequestHandle charge = server.take(ControllerFixture.CHARGE);
        assertEquals(List.of(charge), server.settle().started);
        assertTrue(server.after(2990).brokenOff.isEmpty());
        Decisions due = server.after(10);
        assertEquals(List.of(charge), due.brokenOff);
        assertEquals(List.of(charge), due.halted);
        charge.ended(server.now, Outcome.STOPPED);
        assertTrue(server.after(10).started.isEmpty(), "what ran with an effect is not run again");
    }

    @Example
    void whatWaitsTooLongIsPushedBackUnrun() {
        server.full();
        RequestHandle third = server.take(ControllerFixture.LOOKUP);
        assertTrue(server.settle().started.isEmpty());
        server.after(900);
        assertFalse(server.pushedBack(third));
        server.after(100);
        assertTrue(server.pushedBack(third));
    }

    @Example
    void aRepeatOfAFingerprintedRunSharesItsOutcome() {
        RequestHandle first = server.take(ControllerFixture.CHARGE);
        assertEquals(first, server.settle().kept.get(0).operation());
        RequestHandle second = server.take(ControllerFixture.CHARGE, 0, 10, first);
        Decisions settled = server.settle();
        assertEquals(List.of(second), settled.shared);
        assertTrue(settled.started.isEmpty());
        first.ended(server.now, Outcome.OK);
        server.after(5000);
        RequestHandle third = server.take(ControllerFixture.CHARGE, 0, 10, first);
        assertEquals(List.of(third), server.settle().shared);
    }

    @Example
    void aRepeatOfAStoppedChargeIsBrokenOff() {
        RequestHandle first = server.take(ControllerFixture.CHARGE);
        server.settle();
        server.after(3000);
        first.ended(server.now, Outcome.STOPPED);
        RequestHandle second = server.take(ControllerFixture.CHARGE, 0, 10, first);
        assertEquals(List.of(second), server.settle().brokenOff);
    }

    @Example
    void aRepeatOfAnUnknownChargeIsBrokenOffAndOneOfAnUnknownLookupIsNot() {
        RequestHandle unknown = new ControllerFixture().take(ControllerFixture.CHARGE);
        RequestHandle charge = server.take(ControllerFixture.CHARGE, 0, 10, foreign(unknown));
        assertEquals(List.of(charge), server.settle().brokenOff);
        RequestHandle lookup = server.take(ControllerFixture.LOOKUP, 0, 10, foreign(unknown));
        assertEquals(List.of(lookup), server.settle().started);
    }

    private static RequestHandle foreign(RequestHandle operation) {
        return new RequestHandle() {
            @Override
            public void ended(java.time.Duration now, Outcome how) {
                operation.ended(now, how);
            }

            @Override
            public void reachedCall(java.time.Duration now) {
                operation.reachedCall(now);
            }

            @Override
            public void callEnded(java.time.Duration now, Outcome how, java.time.Duration took) {
                operation.callEnded(now, how, took);
            }

            @Override
            public void callerGone(java.time.Duration now) {
                operation.callerGone(now);
            }
        };
    }

    @Example
    void aRepeatTakesThePlaceOfAnOriginalWhoseCallerLeft() {
        server.full();
        RequestHandle first = server.take(ControllerFixture.CHARGE);
        RequestHandle second = server.take(ControllerFixture.CHARGE, 0, 10, first);
        assertTrue(server.settle().shared.isEmpty());
        first.callerGone(server.now);
        assertEquals(second, server.settle().kept.get(0).operation(), "the entry passes on");
        server.control().look(server.now, new double[] {0, 0});
        assertEquals(List.of(second), server.settle().started);
    }

    @Example
    void onlyACallThatDidNotGetThroughIsMadeAgainAndOnce() {
        for (Outcome how : new Outcome[] {Outcome.ERROR, Outcome.GIVEN_UP, Outcome.CUT_OFF, Outcome.TURNED_AWAY}) {
            RequestHandle charge = called(how);
            assertEquals(List.of(charge), server.after(200).brokenOff, how + " is not made again");
            charge.ended(server.now, Outcome.STOPPED);
        }
        RequestHandle charge = called(Outcome.UNREACHABLE);
        assertEquals(charge, server.after(200).called.get(0).operation(), "it never got through");
        charge.callEnded(server.now, Outcome.UNREACHABLE, ControllerFixture.millis(0));
        assertEquals(List.of(charge), server.settle().brokenOff, "once again, not for ever");
    }

    /** A spoilt reply or a broken connection costs a retriable operation some time, not its outcome. */
    @Example
    void aCallOfARetriableOperationThatIsCutOffIsMadeAgainAndOnce() {
        RequestHandle lookup = called(Outcome.CUT_OFF, ControllerFixture.LOOKUP);
        assertEquals(lookup, server.after(200).called.get(0).operation(), "twice harms nothing");
        lookup.callEnded(server.now, Outcome.CUT_OFF, ControllerFixture.millis(0));
        assertEquals(List.of(lookup), server.settle().brokenOff, "once again, not for ever");
        lookup.ended(server.now, Outcome.STOPPED);
        for (Outcome how : new Outcome[] {Outcome.ERROR, Outcome.GIVEN_UP, Outcome.TURNED_AWAY}) {
            RequestHandle other = called(how, ControllerFixture.LOOKUP);
            assertEquals(List.of(other), server.after(200).brokenOff, how + " may come of a crowded tier");
            other.ended(server.now, Outcome.STOPPED);
        }
    }

    private RequestHandle called(Outcome how) {
        return called(how, ControllerFixture.CALLING);
    }

    private RequestHandle called(Outcome how, int tariff) {
        RequestHandle charge = server.take(tariff);
        server.settle();
        charge.reachedCall(server.now);
        assertEquals(charge, server.settle().called.get(0).operation());
        charge.callEnded(server.now, how, ControllerFixture.millis(0));
        return charge;
    }

    @Example
    void afterTheGraceNothingNewRunsAndAllIsAnsweredBeforeTheStop() {
        RequestHandle running = server.take(ControllerFixture.CHARGE);
        assertEquals(List.of(running), server.settle().started);
        server.control().leave(server.now, ControllerFixture.millis(2600));
        assertEquals(false, server.settle().healthy);
        RequestHandle within = server.take(ControllerFixture.LOOKUP);
        assertEquals(List.of(within), server.after(0).started);
        server.after(2000);
        RequestHandle late = server.take(ControllerFixture.LOOKUP);
        assertTrue(server.settle().started.isEmpty());
        assertTrue(server.pushedBack(late));
        Decisions before = server.after(585);
        assertTrue(before.brokenOff.contains(running));
    }

    @Example
    void aRepeatPastTheGraceTakesNoOnesPlace() {
        server.full();
        RequestHandle first = server.take(ControllerFixture.CHARGE);
        server.control().leave(server.now, ControllerFixture.millis(4000));
        server.settle();
        server.now = ControllerFixture.millis(2010);
        RequestHandle late = server.take(ControllerFixture.CHARGE, 0, 10, first);
        first.callerGone(server.now);
        server.control().look(server.now, new double[] {0, 0});
        assertFalse(server.settle().started.contains(late));
        assertTrue(server.pushedBack(late));
    }

    @Example
    void memoryForTheFingerprintOrNothing() {
        server.with("server.memory-kb", 1000).with("server.kb-per-fingerprint", 500);
        RequestHandle first = server.take(ControllerFixture.CHARGE);
        assertEquals(List.of(first), server.settle().started);
        RequestHandle second = server.take(ControllerFixture.CHARGE);
        server.settle();
        assertTrue(server.pushedBack(second), "no room to remember a second one");
    }

    @Example
    void aRunNeedsItsMemoryBeforeItStarts() {
        server.with("server.memory-kb", 1200);
        RequestHandle first = server.take(ControllerFixture.ORDER, 0, 200, null);
        server.take(ControllerFixture.ORDER, 0, 200, null);
        assertEquals(List.of(first), server.settle().started);
    }

    @Example
    void operationsAtCallsNeverOutnumberTheSurvivableCrowd() {
        server.with("server.cold", true).with("rules.cold-share", 0.2).with("rules.cold", 18000);
        int started = 0;
        for (int i = 0; i < 40; i++) {
            RequestHandle op = server.take(ControllerFixture.CALLING);
            started += server.settle().started.size();
            op.reachedCall(server.now);
            server.settle();
            server.control().look(server.now, new double[] {0, 0});
        }
        assertEquals(10, started, "8 cores x (1 + 3 x 0.2) x 0.75, rounded up: cold");
    }

    @Example
    void aHangIsToldAndAllThatWaitsIsSentAway() {
        server.full();
        server.after(900);
        RequestHandle waiting = server.take(ControllerFixture.CHARGE);
        assertFalse(server.settle().log.stream().anyMatch(l -> l.startsWith("hangs")));
        Decisions hung = server.after(150);
        assertTrue(hung.log.stream().anyMatch(l -> l.startsWith("hangs")));
        assertEquals(false, hung.healthy);
        assertTrue(server.pushedBack(waiting));
        assertEquals(ControllerFixture.millis(1000), hung.pushedBack.get(0).stayAway());
    }

    @Example
    void readsShareAFreshAnswerAndAStaleOneIsReadAnew() {
        server.with("server.fresh-for", 1000);
        RequestHandle first = server.take(ControllerFixture.LOOKUP);
        server.settle();
        RequestHandle second = server.take(ControllerFixture.LOOKUP, 0, 10, first);
        assertEquals(List.of(second), server.settle().shared);
        first.ended(server.now, Outcome.ERROR);
        RequestHandle third = server.take(ControllerFixture.LOOKUP, 0, 10, first);
        server.settle();
        assertTrue(server.last.shared.contains(third) || server.last.started.contains(third));
    }

    /** On slow cores waiting work is given up early; on others it may still be done, as long as its hint leaves time. */
    @Example
    void whatIsTooLateForASlowServerMayBeTriedElsewhere() {
        for (int hint : new int[] {0, 100, 900}) {
            ControllerFixture server = new ControllerFixture().warmedUp(10, 800);
            server.full();
            RequestHandle waiting = server.control()
                    .take(
                            server.now,
                            ControllerFixture.LOOKUP,
                            Duration.ZERO,
                            null,
                            10,
                            hint == 0 ? null : ControllerFixture.millis(hint),
                            false,
                            true,
                            null);
            for (int i = 0; i < 60 && !server.pushedBack(waiting); i++) {
                server.after(10);
            }
            assertEquals(hint != 100, server.last.pushedBack.get(0).nowhereElse(), "hint " + hint);
            // One waits where ten end in a span of a second: so long, and not the longest, its caller stays away.
            double away = ControllerFixture.ms(server.last.pushedBack.get(0).stayAway());
            assertTrue(away > 50 && away < 500, "stay away for " + away + " ms");
        }
    }

    /** A server below that goes takes all its calls with it: that is one sign of a tier in trouble, and not one each. */
    @Example
    void callsThatWereOutTogetherCutTheirCapOnce() {
        for (boolean together : new boolean[] {true, false}) {
            server = new ControllerFixture().with("rules.crowd-factor", "20");
            server.after(1000);
            List<RequestHandle> out = out(10);
            for (RequestHandle operation : out) {
                server.after(together ? 0 : 100);
                operation.callEnded(server.now, Outcome.TURNED_AWAY, ControllerFixture.millis(together ? 50 : 0));
            }
            server.settle();
            out.forEach(operation -> operation.ended(server.now, Outcome.STOPPED));
            // 32 at first; four fifths of that, or four fifths ten times over.
            assertEquals(together ? 25 : 3, out(40).size(), together ? "cut once" : "cut each time");
        }
    }

    /** So many operations brought to their calls, or as many as may call. */
    private List<RequestHandle> out(int count) {
        List<RequestHandle> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RequestHandle operation = server.take(ControllerFixture.CALLING);
            if (server.settle().started.contains(operation)) {
                operation.reachedCall(server.now);
                server.control().look(server.now, new double[] {0, 0});
                if (!server.settle().called.isEmpty()) {
                    out.add(operation);
                }
            }
        }
        return out;
    }

    @Example
    void afterAReturnKeyedWorkIsPushedBackAtOnceUntilItIsSettledAndRetriableWorkIsNot() {
        server.control().keyed(Duration.ofMillis(700), Duration.ofHours(1));
        RequestHandle charge = server.take(ControllerFixture.CHARGE);
        RequestHandle order = server.take(ControllerFixture.ORDER);
        RequestHandle lookup = server.take(ControllerFixture.LOOKUP);
        Decisions settled = server.settle();
        assertTrue(server.pushedBack(charge) && server.pushedBack(order));
        assertEquals(List.of(lookup), settled.started);
        assertEquals(Duration.ofMillis(700), settled.pushedBack.get(0).stayAway(), "and is told when to come back");
        assertEquals(
                2, server.control().figures().pushedBack().get(OverloadController.RejectionReason.UNSETTLED.ordinal()));
        server.after(700);
        // It came before that moment, though it is read only now: a try of the life before may be as old as it.
        RequestHandle late = server.take(ControllerFixture.CHARGE, 50, 10, null);
        assertFalse(server.settle().started.contains(late));
        assertTrue(server.pushedBack(late));
        RequestHandle fresh = server.take(ControllerFixture.CHARGE);
        assertEquals(List.of(fresh), server.settle().started);
    }

    @Example
    void keyedWorkIsNotBegunBeyondWhatTheNextLifeWouldKnowOf() {
        List<RequestHandle> running = server.full();
        RequestHandle charge = server.take(ControllerFixture.CHARGE);
        assertTrue(server.settle().started.isEmpty());
        server.control().keyed(Duration.ZERO, server.now.plusMillis(100));
        server.after(100);
        running.forEach(each -> each.ended(server.now, Outcome.OK));
        server.control().look(server.now, new double[] {0, 0});
        RequestHandle lookup = server.take(ControllerFixture.LOOKUP);
        RequestHandle next = server.take(ControllerFixture.CHARGE);
        assertEquals(
                List.of(lookup), server.settle().started, "the mark has run out: neither the held one nor a new one");
        assertTrue(server.pushedBack(next));
        server.control().keyed(Duration.ZERO, server.now.plusMillis(500));
        assertEquals(List.of(charge), server.after(10).started, "the next mark is on the disk");
    }

    @Example
    void aGuessOfTheCapacityIsWhereItBeginsAndIsOutweighedByWhatItLearns() {
        server.control().guess(40, 8);
        assertEquals(40, server.control().figures().capacity(), 1e-9);
        server.warmedUp(40, 100);
        double learned = server.control().figures().capacity();
        assertTrue(learned > 60, "8 cores at 100 ms for a span of 1 s: " + learned);
        server.control().guess(5, 8);
        assertEquals(learned, server.control().figures().capacity(), 1e-9, "what is learned is not guessed over");
    }
}
