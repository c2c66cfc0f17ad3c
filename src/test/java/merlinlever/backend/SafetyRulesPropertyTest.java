package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import merlinlever.controller.Outcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The safety rules hold for random sequences of events, from fixed seeds. */
class SafetyRulesPropertyTest {

    /** Maximum time from a deadline to the response. */
    private static final long RESPONSE_TOLERANCE_MS = 20;

    private final Map<String, String> idempotencyKeys = new HashMap<>();
    private final Map<String, Duration> deadlines = new HashMap<>();
    private final Set<String> disconnected = new HashSet<>();
    private final Set<String> ended = new HashSet<>();
    private BackendFixture fixture;
    private SplittableRandom random;
    private boolean linkUp;

    /** Each request gets one response in time, no key runs twice in a window, and no result is sent without a run. */
    @Property(tries = 60, seed = "41")
    void safetyRulesHoldForRandomEventSequences(@ForAll long seed) {
        fixture = new BackendFixture();
        random = new SplittableRandom(seed);
        idempotencyKeys.clear();
        deadlines.clear();
        disconnected.clear();
        ended.clear();
        linkUp = true;
        for (int step = 0; step < 400; step++) {
            applyRandomEvent();
            fixture.responsesById.forEach(this::checkResponses);
        }
        checkThatNoKeyRanTwiceInAWindow();
    }

    private void applyRandomEvent() {
        List<String> running =
                launchedIds().distinct().filter(id -> !ended.contains(id)).toList();
        String run = running.isEmpty() ? null : running.get(random.nextInt(running.size()));
        int event = random.nextInt(10);
        if (event < 3) {
            String key = random.nextInt(3) == 0 ? null : "t" + random.nextInt(12);
            String id = fixture.receive(key == null ? "look" : "buy", key, "a");
            idempotencyKeys.put(id, String.valueOf(key));
            deadlines.put(id, fixture.now.plusMillis(1000));
        } else if (event == 3 && run != null) {
            fixture.requestCall(run);
        } else if (event == 4 && run != null) {
            fixture.endCall(run, Outcome.values()[random.nextInt(6)]);
        } else if (event < 7 && run != null && linkUp) {
            ended.add(run);
            fixture.endRun(run, random.nextInt(4) == 0 ? Outcome.ERROR : Outcome.OK, idempotencyKeys.get(run));
        } else if (event == 7 && run != null && random.nextBoolean()) {
            if (fixture.responsesById.get(run).isEmpty()) {
                disconnected.add(run);
            }
            fixture.disconnectCaller(run);
        } else if (event == 8 && random.nextInt(4) == 0) {
            toggleLink();
        } else {
            fixture.advance(random.nextInt(120));
        }
    }

    private Stream<String> launchedIds() {
        return fixture.commands.stream()
                .filter(command -> command.startsWith("launch "))
                .map(command -> command.substring("launch ".length()));
    }

    private void toggleLink() {
        if (linkUp) {
            fixture.backend.agentLinkLost(fixture.now);
        } else {
            fixture.backend.agentLinkRestored(fixture.now);
            fixture.backend.agentEventsCaughtUp(fixture.now);
        }
        linkUp = !linkUp;
    }

    private void checkResponses(String id, List<String> responses) {
        assertTrue(responses.size() <= 1, id + " " + responses);
        boolean isWithinDeadline = fixture.now.compareTo(deadlines.get(id).plusMillis(RESPONSE_TOLERANCE_MS)) <= 0;
        assertTrue(responses.size() == 1 || disconnected.contains(id) || isWithinDeadline);
        assertTrue(
                responses.isEmpty()
                        || !responses.get(0).startsWith("succeeded")
                        || responses.get(0).equals("succeeded " + idempotencyKeys.get(id)),
                id);
    }

    private void checkThatNoKeyRanTwiceInAWindow() {
        Map<String, Set<String>> runsByKey = new HashMap<>();
        launchedIds().filter(id -> !idempotencyKeys.get(id).equals("null")).forEach(id -> runsByKey
                .computeIfAbsent(idempotencyKeys.get(id), key -> new HashSet<>())
                .add(id));
        runsByKey.values().forEach(ids -> {
            ids.forEach(id -> assertEquals(1, fixture.count("launch " + id), id));
            List<Duration> arrivals = ids.stream()
                    .map(id -> deadlines.get(id).minusMillis(1000))
                    .sorted()
                    .toList();
            for (int i = 1; i < arrivals.size(); i++) {
                assertTrue(arrivals.get(i).minus(arrivals.get(i - 1)).toMillis() > 5000, "" + arrivals);
            }
        });
    }
}
