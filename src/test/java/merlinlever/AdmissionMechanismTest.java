package merlinlever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.Example;

/** The mechanism of the design page, with figures worked by hand. */
class AdmissionMechanismTest {

    private final ControllerFixture server = new ControllerFixture();

    /** Fills the hold behind full cores and returns how many of the arrivals of a tariff were refused. */
    private double refused(int tariff, boolean again, int waiting, int arrivals) {
        return refused(tariff, again, waiting, arrivals, ControllerFixture::new);
    }

    private double refused(int tariff, boolean again, int waiting, int arrivals, Supplier<ControllerFixture> made) {
        int count = 0;
        for (int i = 0; i < arrivals; i++) {
            ControllerFixture one = made.get();
            one.seed = i;
            one.warmedUp(10, 200).full();
            for (int held = 0; held < waiting; held++) {
                one.take(ControllerFixture.ORDER);
            }
            RequestHandle arrival = again ? one.again(tariff) : one.take(tariff);
            one.settle();
            for (Decisions.Rejection pushback : one.last.rejected) {
                if (pushback.request() == arrival) {
                    count++;
                    assertTrue(pushback.finalRejection(), "a refusal by chance is final");
                }
            }
        }
        return count / (double) arrivals;
    }

    @Example
    void belowTheLowerThresholdNothingIsRefused() {
        assertEquals(0, refused(ControllerFixture.LOOKUP, false, 10, 200));
    }

    @Example
    void theLeastValuedIsRefusedFirst() {
        // Capacity 40 (8 cores, 200 ms a run, 1 s): 20 waiting give q = 0.5, avg 0.48, p_b = 0.14 and a count over 7.
        double lookups = refused(ControllerFixture.LOOKUP, false, 20, 400);
        double charges = refused(ControllerFixture.CHARGE, false, 20, 400);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges < 0.1, "coefficient 0.1: " + charges);
        double chargesAgain = refused(ControllerFixture.CHARGE, true, 20, 400);
        assertTrue(chargesAgain > 1.5 * charges, "four times as often as a further try: " + chargesAgain);
    }

    /** A class that is worth nothing must not switch the refusals of all classes off. */
    @Example
    void aTariffWithoutValueIsRefusedFirstAndTheOthersByTheirValue() {
        Supplier<ControllerFixture> made = () -> {
            ControllerFixture one = new ControllerFixture();
            one.with("tariffs." + ControllerFixture.LOOKUP + ".value", 0);
            return one;
        };
        double lookups = refused(ControllerFixture.LOOKUP, false, 20, 400, made);
        double charges = refused(ControllerFixture.CHARGE, false, 20, 400, made);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges > 0 && charges < 0.1, "coefficient 0.1: " + charges);
    }

    @Example
    void whatFreeCoresTakeAtOnceDoesNotCountAsWaiting() {
        server.with("server.cores", 2);
        for (int i = 0; i < 100; i++) {
            RequestHandle lookup = server.take(ControllerFixture.LOOKUP);
            assertEquals(List.of(lookup), server.settle().started, "two cores, one at a time: nothing waits");
            lookup.runEnded(server.now, Outcome.OK);
        }
    }

    @Example
    void startsGoOldestFirstBelowTheMark() {
        List<RequestHandle> running = server.full();
        RequestHandle first = server.take(ControllerFixture.LOOKUP);
        RequestHandle second = server.take(ControllerFixture.CHARGE);
        assertEquals(List.of(), server.settle().started, "the gauge reads 8, the mark is 8 cores");
        running.get(0).runEnded(server.now, Outcome.OK);
        assertEquals(List.of(first), server.settle().started, "one has ended since");
        server.control().updateGauges(server.now, new double[] {1, 9});
        running.get(1).runEnded(server.now, Outcome.OK);
        assertEquals(List.of(), server.settle().started, "9 less the one that ended is not below the mark");
        server.control().updateGauges(server.now, new double[] {1, 7});
        assertEquals(List.of(second), server.settle().started);
    }

    @Example
    void aBacklogBeforeTheDoorCountsAsHeld() {
        server.warmedUp(10, 200);
        int refused = 0;
        for (int i = 0; i < 30; i++) {
            server.take(ControllerFixture.LOOKUP, 850, 10, null);
            refused += server.settle().rejected.size();
        }
        assertEquals(30, refused, "850 ms of a span of 1000 ms is over max_th");
    }

    @Example
    void aRefusalByChanceAsksCallersToTryNowhereElseWhateverReadingCosts() {
        for (int reading : new int[] {50, 150}) {
            ControllerFixture one = new ControllerFixture();
            one.take(ControllerFixture.LOOKUP, reading, 10, null);
            one.settle();
            one.take(ControllerFixture.LOOKUP, reading + 900, 10, null);
            one.settle();
            assertTrue(one.last.rejected.get(0).finalRejection(), "reading " + reading + " ms of a 1000 ms span");
        }
    }

    @Example
    void theLevelRisesWithPressureAndFallsAfterIt() {
        server.with("server.say", "level").warmedUp(10, 200);
        double high = 0;
        for (int i = 0; i < 30; i++) {
            server.take(ControllerFixture.LOOKUP, 850, 10, null);
            server.after(100);
            high = Double.isNaN(server.last.backpressureLevel) ? high : server.last.backpressureLevel;
        }
        assertTrue(high >= 0.5, "level " + high);
        for (int i = 0; i < 200; i++) {
            server.after(100);
            high = Double.isNaN(server.last.backpressureLevel) ? high : server.last.backpressureLevel;
        }
        assertEquals(0, high);
    }

    @Example
    void idleConnectionsOfManyCallersAreClosedSoonerTheMoreACoreIsFree() {
        server.with("server.idle", 30000).with("server.callers", 200);
        for (int i = 0; i < 50; i++) {
            server.after(100);
        }
        assertTrue(
                server.closeIdle.compareTo(ControllerFixture.millis(1200)) < 0,
                "idle cores: a thirtieth, " + server.closeIdle);
        server.control().updateGauges(server.now, new double[] {1, 8});
        for (int i = 0; i < 250; i++) {
            server.after(100);
        }
        assertTrue(
                server.closeIdle.compareTo(ControllerFixture.millis(25000)) > 0,
                "full cores: all of it, " + server.closeIdle);
        ControllerFixture few =
                new ControllerFixture().with("server.idle", 30000).with("server.callers", 100);
        few.after(100);
        few.after(5000);
        assertEquals(null, few.closeIdle, "few callers cannot fill the table");
    }

    @Example
    void oneLongRunDoesNotUndoWhatTwoCoresHaveLearned() {
        server.with("server.cores", 2).warmedUp(20, 100);
        server.take(ControllerFixture.ORDER);
        server.take(ControllerFixture.ORDER);
        server.after(900);
        server.take(ControllerFixture.LOOKUP);
        server.take(ControllerFixture.LOOKUP);
        server.settle();
        assertTrue(server.last.started.isEmpty());
        assertTrue(server.last.rejected.isEmpty(), "capacity 20, one waits: q under 0.3 after a span without an end");
    }

    @Example
    void sameSeedSameDecisions() {
        ControllerFixture one = new ControllerFixture();
        ControllerFixture two = new ControllerFixture();
        for (ControllerFixture each : List.of(one, two)) {
            each.warmedUp(5, 200);
            for (int i = 0; i < 60; i++) {
                each.take(i % 4);
            }
            each.settle();
        }
        assertEquals(one.last.rejected.size(), two.last.rejected.size());
        assertTrue(one.last.rejected.size() > 0);
    }
}
