package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import merlinlever.controller.settings.BackpressureSignal;
import org.junit.jupiter.api.Test;

/** Tests random early detection, dispatching and backpressure against values calculated from docs/design.md. */
class AdmissionMechanismTest {

    private final ControllerFixture fixture = new ControllerFixture();

    /** Returns the fraction of rejected arrivals of a class while all cores are busy and requests are queued. */
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
    void rejectsTheClassWithTheLowestWeightFirst() {
        // Capacity 40 (8 cores, 200 ms per run, objective 1 s): 20 queued requests give occupancy 0.5, average 0.48
        // and base probability 0.14, with more than 7 requests queued since the last rejection.
        double lookups = rejectedFraction(ControllerFixture.LOOKUP, false, 20, 400);
        double charges = rejectedFraction(ControllerFixture.CHARGE, false, 20, 400);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges < 0.1, "coefficient 0.1: " + charges);
        double retries = rejectedFraction(ControllerFixture.CHARGE, true, 20, 400);
        assertTrue(retries > 1.5 * charges, "a retry is rejected four times as often: " + retries);
    }

    /** A class of weight 0 must not disable the rejections of the other classes. */
    @Test
    void rejectsAClassOfWeightZeroFirstAndOtherClassesByWeight() {
        Supplier<ControllerFixture> fixtures = () -> new ControllerFixture()
                .with(settings -> settings.changePriorityClass(ControllerFixture.LOOKUP, lookup -> lookup.weight(0)));
        double lookups = rejectedFraction(ControllerFixture.LOOKUP, false, 20, 400, fixtures);
        double charges = rejectedFraction(ControllerFixture.CHARGE, false, 20, 400, fixtures);
        assertTrue(lookups > 0.2, "coefficient 5: " + lookups);
        assertTrue(charges > 0 && charges < 0.1, "coefficient 0.1: " + charges);
    }

    @Test
    void requestsThatIdleCoresStartAtOnceDoNotCountAsQueued() {
        fixture.with(settings -> settings.cores(2));
        for (int i = 0; i < 100; i++) {
            RequestHandle lookup = fixture.submit(ControllerFixture.LOOKUP);
            assertEquals(List.of(lookup), fixture.decide().started(), "one request at a time on two cores");
            lookup.runEnded(fixture.now, Outcome.OK);
        }
    }

    @Test
    void startsTheOldestRequestFirstWhileTheRunQueueIsShorterThanTheCores() {
        List<RequestHandle> running = fixture.occupyAllCores();
        RequestHandle first = fixture.submit(ControllerFixture.LOOKUP);
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(), fixture.decide().started(), "run queue of 8 on 8 cores");
        running.get(0).runEnded(fixture.now, Outcome.OK);
        assertEquals(List.of(first), fixture.decide().started(), "one run has ended since the sample");
        fixture.updateGauges(1, 9);
        running.get(1).runEnded(fixture.now, Outcome.OK);
        assertEquals(List.of(), fixture.decide().started(), "run queue of 9 less one ended run is not below 8");
        fixture.updateGauges(1, 7);
        assertEquals(List.of(second), fixture.decide().started());
    }

    @Test
    void readDelayCountsAsQueueingTime() {
        fixture.warmUp(10, 200);
        int rejected = 0;
        for (int i = 0; i < 30; i++) {
            fixture.submit(ControllerFixture.LOOKUP, 850, 10, null);
            rejected += fixture.decide().rejected().size();
        }
        assertEquals(30, rejected, "850 ms of the 1000 ms objective exceed the upper threshold");
    }

    @Test
    void randomRejectionIsFinalAtAnyReadDelay() {
        for (int readMs : new int[] {50, 150}) {
            ControllerFixture server = new ControllerFixture();
            server.submit(ControllerFixture.LOOKUP, readMs, 10, null);
            server.decide();
            server.submit(ControllerFixture.LOOKUP, readMs + 900, 10, null);
            assertTrue(server.decide().rejected().get(0).isFinal(), "read delay of " + readMs + " ms");
        }
    }

    @Test
    void backpressureRisesUnderLoadAndFallsAfterwards() {
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
    void idleTimeoutForManyCallersShrinksWithFreeCoresAndGrowsWithBusyCores() {
        fixture.with(settings -> settings.idleTimeout(Duration.ofSeconds(30)).callers(200));
        for (int i = 0; i < 50; i++) {
            fixture.decideAfter(100);
        }
        assertTrue(
                fixture.idleConnectionTimeout.compareTo(Duration.ofMillis(1200)) < 0,
                "idle cores: a thirtieth of the configured timeout: " + fixture.idleConnectionTimeout);
        fixture.updateGauges(1, 8);
        for (int i = 0; i < 250; i++) {
            fixture.decideAfter(100);
        }
        assertTrue(
                fixture.idleConnectionTimeout.compareTo(Duration.ofSeconds(25)) > 0,
                "busy cores: nearly the configured timeout: " + fixture.idleConnectionTimeout);
        ControllerFixture fewCallers = new ControllerFixture()
                .with(settings -> settings.idleTimeout(Duration.ofSeconds(30)).callers(100));
        fewCallers.decideAfter(100);
        fewCallers.decideAfter(5000);
        assertNull(fewCallers.idleConnectionTimeout, "few callers cannot fill the connection table");
    }

    @Test
    void oneLongRunDoesNotReduceTheCapacityEstimate() {
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
                "capacity 20 and one queued request: occupancy below 0.3, without recent completions");
    }

    @Test
    void sameSeedGivesTheSameDecisions() {
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
