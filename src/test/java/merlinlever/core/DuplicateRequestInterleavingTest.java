package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.Outcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Many orders of what can cross within one batch, from fixed seeds: tries that are read late, out of order or dated ahead,
 * callers that go, outcomes, calls, replies and the notice to leave, with windows shorter and longer than a run.
 */
class DuplicateRequestInterleavingTest {

    private static final class Attempt {
        String name;
        String token;
        Duration arrival;
        Duration due;
        boolean launched;
        boolean over;
        boolean gone;
    }

    private final List<Attempt> tries = new ArrayList<>();
    private BatchedBackendFixture batches;
    private SplittableRandom chance;
    private Duration graceEnds;

    /** Guards rule 2 and 1: no try of a window runs beside the one that ran, and each has one answer, of a run of its token. */
    @Property(tries = 150, seed = "36")
    void noOrderRunsARequestTwiceInItsWindow(@ForAll long seed) {
        chance = new SplittableRandom(seed);
        int window = new int[] {0, 40, 400, 5000}[chance.nextInt(4)];
        batches = new BatchedBackendFixture(BatchedBackendFixture.with("tariffs.1.window", "" + window));
        tries.clear();
        graceEnds = null;
        for (int step = 0; step < 300; step++) {
            for (int events = chance.nextInt(5); events > 0; events--) {
                event(step);
            }
            batches.settle();
            launched();
            batches.around.now = batches.now().plusMillis(1 + chance.nextInt(25));
            batches.backend.alarmed(batches.now());
            // Sometimes the cores are full, so that what is read is held.
            batches.backend.gauges(batches.now(), new double[] {0, chance.nextInt(3) == 0 ? 0 : 8});
            batches.settle();
            launched();
            check();
        }
        windows(window);
    }

    private void event(int step) {
        Attempt some = tries.isEmpty() ? null : tries.get(Math.max(0, tries.size() - 1 - chance.nextInt(12)));
        int what = chance.nextInt(11);
        if (what < 5 || some == null) {
            read();
        } else if (what < 7 && some.launched && !some.over) {
            some.over = true;
            batches.ended(some.name, chance.nextInt(5) == 0 ? Outcome.ERROR : Outcome.OK, some.token);
        } else if (what == 7 && batches.heard(some.name).isEmpty() && !some.gone) {
            some.gone = true;
            batches.gone(some.name);
        } else if (what == 8 && some.launched && !some.over) {
            batches.needsCall(some.name);
        } else if (what == 9 && some.launched && !some.over) {
            batches.replied(some.name, Outcome.values()[chance.nextInt(6)]);
        } else if (what == 10 && step > 150 && chance.nextInt(80) == 0) {
            batches.backend.leave(batches.now(), batches.now().plusMillis(4000));
            graceEnds = graceEnds == null ? batches.now().plusMillis(500) : graceEnds;
        }
    }

    private void read() {
        Attempt read = new Attempt();
        read.token = "t" + chance.nextInt(6);
        long late = chance.nextInt(4) == 0 ? chance.nextInt(600) : 0;
        boolean ahead = chance.nextInt(12) == 0;
        Duration dated = ahead
                ? batches.now().plusMillis(chance.nextInt(4000))
                : batches.now().minusMillis(late);
        read.arrival = ahead ? batches.now() : dated;
        read.due = dated.plusMillis(1000);
        read.name = batches.read("buy", read.token, null, "body of " + read.token, dated);
        tries.add(read);
    }

    private void launched() {
        for (Attempt each : tries) {
            long times = each.launched ? 0 : batches.around.times("launch " + each.name);
            assertTrue(times <= 1, "launched more than once");
            assertTrue(
                    times == 0 || graceEnds == null || each.arrival.compareTo(graceEnds) < 0,
                    "rule 3: came after the grace");
            each.launched |= times == 1;
        }
    }

    private void check() {
        for (Attempt each : tries) {
            List<String> heard = batches.heard(each.name);
            assertTrue(heard.size() <= (each.gone ? 0 : 1), each.name + " " + heard);
            assertTrue(
                    heard.size() == 1 || each.gone || batches.now().compareTo(each.due.plusMillis(60)) <= 0,
                    "rule 1: in time");
            if (!heard.isEmpty()) {
                assertTrue(
                        !heard.get(0).startsWith("satisfied") || heard.get(0).equals("satisfied " + each.token),
                        each.name);
                assertTrue(
                        !heard.get(0).equals("pushed back") || !each.launched, "rule 2: what ran is not called unrun");
            }
        }
    }

    /** No try that came from the arrival of one that ran to the end of its window ran as well. */
    private void windows(int window) {
        Map<String, List<Attempt>> ran = new HashMap<>();
        tries.stream().filter(each -> each.launched).forEach(each -> ran.computeIfAbsent(
                        each.token, token -> new ArrayList<>())
                .add(each));
        ran.forEach((token, runs) -> {
            for (Attempt one : runs) {
                for (Attempt other : runs) {
                    long after = other.arrival.minus(one.arrival).toMillis();
                    assertTrue(
                            one == other || after < 0 || after > window,
                            token + ": " + after + " ms after one that ran");
                }
            }
        });
    }
}
