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
 * Random interleavings of duplicates with other events, from fixed seeds. Duplicates are read late, out of order or
 * with an arrival time in the future; idempotency windows are shorter or longer than a run.
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
     * At most one request with an idempotency key runs per window, and each request has one response, from a run with
     * the same key.
     */
    @Property(tries = 150, seed = "36")
    void requestsWithTheSameKeyRunAtMostOncePerWindow(@ForAll long seed) {
        random = new SplittableRandom(seed);
        int windowMs = new int[] {0, 40, 400, 5000}[random.nextInt(4)];
        fixture = BatchedBackendFixture.withBuyWindow(windowMs);
        attempts.clear();
        gracePeriodEnd = null;
        for (int step = 0; step < 300; step++) {
            for (int events = random.nextInt(5); events > 0; events--) {
                applyRandomEvent(step);
            }
            fixture.decide();
            recordLaunches();
            fixture.moveClock(1 + random.nextInt(25));
            fixture.backend.wakeUp(fixture.now());
            // Reports idle cores in a third of the steps and full cores otherwise, so that requests are queued.
            fixture.backend.metricsReceived(fixture.now(), new double[] {0, random.nextInt(3) == 0 ? 0 : 8});
            fixture.decide();
            recordLaunches();
            checkResponses();
        }
        checkWindows(windowMs);
    }

    private void applyRandomEvent(int step) {
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
        long readDelayMs = random.nextInt(4) == 0 ? random.nextInt(600) : 0;
        boolean inFuture = random.nextInt(12) == 0;
        Duration claimedArrival = inFuture
                ? fixture.now().plusMillis(random.nextInt(4000))
                : fixture.now().minusMillis(readDelayMs);
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
                    "rule 3: launched although it arrived after the grace period");
            attempt.launched |= launches == 1;
        }
    }

    private void checkResponses() {
        for (Attempt attempt : attempts) {
            List<String> responses = fixture.responses(attempt.id);
            assertTrue(responses.size() <= (attempt.disconnected ? 0 : 1), attempt.id + " " + responses);
            boolean isWithinDeadline = fixture.now().compareTo(attempt.deadline.plusMillis(60)) <= 0;
            assertTrue(
                    responses.size() == 1 || attempt.disconnected || isWithinDeadline, "rule 1: not answered in time");
            if (!responses.isEmpty()) {
                String response = responses.get(0);
                assertTrue(
                        !response.startsWith("succeeded") || response.equals("succeeded " + attempt.idempotencyKey),
                        attempt.id);
                assertTrue(!response.equals("rejected") || !attempt.launched, "rule 2: rejected although it ran");
            }
        }
    }

    /** Asserts that no two requests ran of which one arrived within the window of the other. */
    private void checkWindows(int windowMs) {
        Map<String, List<Attempt>> runsByKey = new HashMap<>();
        attempts.stream().filter(attempt -> attempt.launched).forEach(attempt -> runsByKey
                .computeIfAbsent(attempt.idempotencyKey, key -> new ArrayList<>())
                .add(attempt));
        runsByKey.forEach((key, runs) -> {
            for (Attempt run : runs) {
                for (Attempt other : runs) {
                    long arrivalDistanceMs =
                            other.arrivedAt.minus(run.arrivedAt).toMillis();
                    assertTrue(
                            run == other || arrivalDistanceMs < 0 || arrivalDistanceMs > windowMs,
                            key + ": " + arrivalDistanceMs + " ms after a request that ran");
                }
            }
        });
    }
}
