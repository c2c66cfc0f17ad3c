package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import merlinlever.controller.settings.BackpressureSignal;
import org.junit.jupiter.api.Test;

/** Random early detection, dispatching and backpressure as docs/design.md has them, with figures worked by hand. */
class AdmissionMechanismTest {

    private final ControllerFixture fixture = new ControllerFixture();

    /** Queues requests behind busy cores; returns the fraction of the arrivals of a class that were rejected. */
    private double rejectedFraction(int priorityClass, boolean retry, int queued, int arrivals) {
        return rejectedFraction(priorityClass, retry, queued, arrivals, ControllerFixture::new);
    }

    private double rejectedFraction(
            int priorityClass, boolean retry, int queued, int arrivals, Supplier<ControllerFixture> fixtures) {
        int count = 0;
        for (int i = 0; i < arrivals; i++) {
            ControllerFixture server = fixtures.get();
            server.seed = i;
            server.warmUp(10, 200).occupyAllCores();
            for (int j = 0; j < queued; j++) {
                server.submit(ControllerFixture.ORDER);
            }
            RequestHandle arrival = retry ? server.submitRetry(priorityClass) : server.submit(priorityClass);
            for (Decision.Reject rejection : server.decide().rejected()) {
                if (rejection.request() == arrival) {
                    count++;
                    assertTrue(rejection.isFinal(), "a random rejection is final");
                }
            }
        }
        return count / (double) arrivals;
    }

    @Test
    void rejectsNothingBelowTheLowerThreshold() {
        assertEquals(0, rejectedFraction(ControllerFixture.LOOKUP, false, 10, 200));
    }

    @Test
    void rejectsTheClassOfLeastWeightFirst() {
        // Capacity 40 (8 cores, 200 ms a run, 1 s): 20 queued give occupancy 0.5, average 0.48, base
        // probability 0.14 and over 7 queued since the last rejection.
        double lookups = rejectedFraction(ControllerFixture.LOOKUP, false, 20, 400);
        double charges = rejectedFraction(ControllerFixture.CHARGE, false, 20, 400);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges < 0.1, "coefficient 0.1: " + charges);
        double retries = rejectedFraction(ControllerFixture.CHARGE, true, 20, 400);
        assertTrue(retries > 1.5 * charges, "four times as often as a retry: " + retries);
    }

    /** A class without weight must not switch off the rejections of all classes. */
    @Test
    void rejectsAClassWithoutWeightFirstAndTheOthersByTheirWeight() {
        Supplier<ControllerFixture> fixtures = () -> new ControllerFixture()
                .with(settings -> settings.changePriorityClass(ControllerFixture.LOOKUP, lookup -> lookup.weight(0)));
        double lookups = rejectedFraction(ControllerFixture.LOOKUP, false, 20, 400, fixtures);
        double charges = rejectedFraction(ControllerFixture.CHARGE, false, 20, 400, fixtures);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges > 0 && charges < 0.1, "coefficient 0.1: " + charges);
    }

    @Test
    void whatIdleCoresStartAtOnceDoesNotCountAsQueued() {
        fixture.with(settings -> settings.cores(2));
        for (int i = 0; i < 100; i++) {
            RequestHandle lookup = fixture.submit(ControllerFixture.LOOKUP);
            assertEquals(List.of(lookup), fixture.decide().started(), "two cores, one at a time: nothing is queued");
            lookup.runEnded(fixture.now, Outcome.OK);
        }
    }

    @Test
    void startsTheOldestFirstWhileTheRunQueueIsShorterThanTheCores() {
        List<RequestHandle> running = fixture.occupyAllCores();
        RequestHandle first = fixture.submit(ControllerFixture.LOOKUP);
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(), fixture.decide().started(), "the gauge reads 8, and there are 8 cores");
        running.get(0).runEnded(fixture.now, Outcome.OK);
        assertEquals(List.of(first), fixture.decide().started(), "one has ended since");
        fixture.updateGauges(1, 9);
        running.get(1).runEnded(fixture.now, Outcome.OK);
        assertEquals(List.of(), fixture.decide().started(), "9 less the one that ended is not below 8");
        fixture.updateGauges(1, 7);
        assertEquals(List.of(second), fixture.decide().started());
    }

    @Test
    void readDelayCountsAsQueueing() {
        fixture.warmUp(10, 200);
        int rejected = 0;
        for (int i = 0; i < 30; i++) {
            fixture.submit(ControllerFixture.LOOKUP, 850, 10, null);
            rejected += fixture.decide().rejected().size();
        }
        assertEquals(30, rejected, "850 ms of an objective of 1000 ms is over the upper threshold");
    }

    @Test
    void randomRejectionIsFinalWhateverReadingCosts() {
        for (int readMs : new int[] {50, 150}) {
            ControllerFixture server = new ControllerFixture();
            server.submit(ControllerFixture.LOOKUP, readMs, 10, null);
            server.decide();
            server.submit(ControllerFixture.LOOKUP, readMs + 900, 10, null);
            assertTrue(server.decide().rejected().get(0).isFinal(), "read in " + readMs + " ms of 1000 ms");
        }
    }

    @Test
    void backpressureRisesWithTheOccupancyAndFallsAfterIt() {
        fixture.withSignal(BackpressureSignal.LEVEL).warmUp(10, 200);
        double level = 0;
        for (int i = 0; i < 30; i++) {
            fixture.submit(ControllerFixture.LOOKUP, 850, 10, null);
            fixture.decideAfter(100);
            level = fixture.lastBatch.backpressure().orElse(level);
        }
        assertTrue(level >= 0.5, "level " + level);
        for (int i = 0; i < 200; i++) {
            fixture.decideAfter(100);
            level = fixture.lastBatch.backpressure().orElse(level);
        }
        assertEquals(0, level);
    }

    @Test
    void closesIdleConnectionsOfManyCallersSoonerTheMoreOftenACoreIsFree() {
        fixture.with(settings -> settings.idleTimeout(Duration.ofSeconds(30)).callers(200));
        for (int i = 0; i < 50; i++) {
            fixture.decideAfter(100);
        }
        assertTrue(
                fixture.idleConnectionTimeout.compareTo(Duration.ofMillis(1200)) < 0,
                "idle cores: a thirtieth, " + fixture.idleConnectionTimeout);
        fixture.updateGauges(1, 8);
        for (int i = 0; i < 250; i++) {
            fixture.decideAfter(100);
        }
        assertTrue(
                fixture.idleConnectionTimeout.compareTo(Duration.ofSeconds(25)) > 0,
                "busy cores: all of it, " + fixture.idleConnectionTimeout);
        ControllerFixture fewCallers = new ControllerFixture()
                .with(settings -> settings.idleTimeout(Duration.ofSeconds(30)).callers(100));
        fewCallers.decideAfter(100);
        fewCallers.decideAfter(5000);
        assertNull(fewCallers.idleConnectionTimeout, "few callers cannot fill the table");
    }

    @Test
    void oneLongRunDoesNotUndoTheCapacityThatWasLearned() {
        fixture.with(settings -> settings.cores(2)).warmUp(20, 100);
        fixture.submit(ControllerFixture.ORDER);
        fixture.submit(ControllerFixture.ORDER);
        fixture.decideAfter(900);
        fixture.submit(ControllerFixture.LOOKUP);
        fixture.submit(ControllerFixture.LOOKUP);
        fixture.decide();
        assertTrue(fixture.lastBatch.started().isEmpty());
        assertTrue(
                fixture.lastBatch.rejected().isEmpty(),
                "capacity 20, one queued: occupancy under 0.3 though nothing completed lately");
    }

    @Test
    void sameSeedMakesTheSameDecisions() {
        ControllerFixture first = new ControllerFixture();
        ControllerFixture second = new ControllerFixture();
        for (ControllerFixture server : List.of(first, second)) {
            server.warmUp(5, 200);
            for (int i = 0; i < 60; i++) {
                server.submit(i % 4);
            }
            server.decide();
        }
        assertEquals(
                first.lastBatch.rejected().size(), second.lastBatch.rejected().size());
        assertTrue(first.lastBatch.rejected().size() > 0);
    }
}
