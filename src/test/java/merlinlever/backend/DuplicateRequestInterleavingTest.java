package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.controller.Outcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Many orders of what can happen in one batch, from fixed seeds: duplicates that are read late, out of order or with an
 * arrival in the future, disconnects, outcomes, calls, replies and the drain notice, with windows shorter and longer
 * than a run.
 */
class DuplicateRequestInterleavingTest {

    private static final class Attempt {
        String id;
        String idempotencyKey;
        Duration arrivedAt;
        Duration deadline;
        boolean launched;
        boolean ended;
        boolean disconnected;
    }

    private final List<Attempt> attempts = new ArrayList<>();
    private BatchedBackendFixture fixture;
    private SplittableRandom random;
    private Duration gracePeriodEnd;

    /**
     * No duplicate of a window runs beside the one that ran, and each request has one response, from a run with its
     * idempotency key.
     */
    @Property(tries = 150, seed = "36")
    void noOrderOfEventsRunsARequestTwiceInItsWindow(@ForAll long seed) {
        random = new SplittableRandom(seed);
        int windowMs = new int[] {0, 40, 400, 5000}[random.nextInt(4)];
        fixture = BatchedBackendFixture.withBuyWindow(windowMs);
        attempts.clear();
        gracePeriodEnd = null;
        for (int step = 0; step < 300; step++) {
            for (int events = random.nextInt(5); events > 0; events--) {
                playEvent(step);
            }
            fixture.decide();
            recordLaunches();
            fixture.moveClock(1 + random.nextInt(25));
            fixture.backend.wakeUp(fixture.now());
            // Sometimes the cores are full, so that requests are queued.
            fixture.backend.metricsReceived(fixture.now(), new double[] {0, random.nextInt(3) == 0 ? 0 : 8});
            fixture.decide();
            recordLaunches();
            checkResponses();
        }
        checkWindows(windowMs);
    }

    private void playEvent(int step) {
        Attempt attempt =
                attempts.isEmpty() ? null : attempts.get(Math.max(0, attempts.size() - 1 - random.nextInt(12)));
        int event = random.nextInt(11);
        if (event < 5 || attempt == null) {
            receiveAttempt();
        } else if (event < 7 && attempt.launched && !attempt.ended) {
            attempt.ended = true;
            Outcome outcome = random.nextInt(5) == 0 ? Outcome.ERROR : Outcome.OK;
            fixture.endRun(attempt.id, outcome, attempt.idempotencyKey);
        } else if (event == 7 && fixture.responses(attempt.id).isEmpty() && !attempt.disconnected) {
            attempt.disconnected = true;
            fixture.disconnectCaller(attempt.id);
        } else if (event == 8 && attempt.launched && !attempt.ended) {
            fixture.requestCall(attempt.id);
        } else if (event == 9 && attempt.launched && !attempt.ended) {
            fixture.endCall(attempt.id, Outcome.values()[random.nextInt(6)]);
        } else if (event == 10 && step > 150 && random.nextInt(80) == 0) {
            fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(4000));
            gracePeriodEnd = gracePeriodEnd == null ? fixture.now().plusMillis(500) : gracePeriodEnd;
        }
    }

    private void receiveAttempt() {
        Attempt attempt = new Attempt();
        attempt.idempotencyKey = "t" + random.nextInt(6);
        long unreadMs = random.nextInt(4) == 0 ? random.nextInt(600) : 0;
        boolean inFuture = random.nextInt(12) == 0;
        Duration claimedArrival = inFuture
                ? fixture.now().plusMillis(random.nextInt(4000))
                : fixture.now().minusMillis(unreadMs);
        attempt.arrivedAt = inFuture ? fixture.now() : claimedArrival;
        attempt.deadline = claimedArrival.plusMillis(1000);
        attempt.id = fixture.receive(
                "buy", attempt.idempotencyKey, null, "body of " + attempt.idempotencyKey, claimedArrival);
        attempts.add(attempt);
    }

    private void recordLaunches() {
        for (Attempt attempt : attempts) {
            long launches = attempt.launched ? 0 : fixture.count("launch " + attempt.id);
            assertTrue(launches <= 1, "launched more than once");
            assertTrue(
                    launches == 0 || gracePeriodEnd == null || attempt.arrivedAt.compareTo(gracePeriodEnd) < 0,
                    "rule 3: arrived after the grace period");
            attempt.launched |= launches == 1;
        }
    }

    private void checkResponses() {
        for (Attempt attempt : attempts) {
            List<String> responses = fixture.responses(attempt.id);
            assertTrue(responses.size() <= (attempt.disconnected ? 0 : 1), attempt.id + " " + responses);
            boolean isInTime = fixture.now().compareTo(attempt.deadline.plusMillis(60)) <= 0;
            assertTrue(responses.size() == 1 || attempt.disconnected || isInTime, "rule 1: answered in time");
            if (!responses.isEmpty()) {
                String response = responses.get(0);
                assertTrue(
                        !response.startsWith("succeeded") || response.equals("succeeded " + attempt.idempotencyKey),
                        attempt.id);
                assertTrue(
                        !response.equals("rejected") || !attempt.launched, "rule 2: no request that ran is rejected");
            }
        }
    }

    /** No request that arrived between the arrival of one that ran and the end of its window ran as well. */
    private void checkWindows(int windowMs) {
        Map<String, List<Attempt>> runsByKey = new HashMap<>();
        attempts.stream().filter(attempt -> attempt.launched).forEach(attempt -> runsByKey
                .computeIfAbsent(attempt.idempotencyKey, key -> new ArrayList<>())
                .add(attempt));
        runsByKey.forEach((key, runs) -> {
            for (Attempt run : runs) {
                for (Attempt other : runs) {
                    long laterMs = other.arrivedAt.minus(run.arrivedAt).toMillis();
                    assertTrue(
                            run == other || laterMs < 0 || laterMs > windowMs,
                            key + ": " + laterMs + " ms after one that ran");
                }
            }
        });
    }
}
