package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.Outcome;

/** A backend whose batches the test puts together itself: nothing is settled, and no time passes, but by its word. */
final class BatchedBackendFixture {

    static final List<String> DONE = List.of("satisfied done");

    final BackendFixture around;
    final Backend backend;
    /** How long callers wait from the arrival on. */
    Duration wait = Duration.ofSeconds(1);

    BatchedBackendFixture(Map<String, String> more) {
        around = new BackendFixture(more);
        backend = around.backend;
    }

    BatchedBackendFixture() {
        this(Map.of());
    }

    Duration now() {
        return around.now;
    }

    /** Fills the cores, so that what is read next is held. */
    BatchedBackendFixture busy() {
        for (int i = 0; i < 4; i++) {
            around.take("look", null, "busy" + i);
        }
        return this;
    }

    /** The cores have room again, and what is held is started as far as that goes. */
    void free() {
        backend.alarmed(now());
        backend.gauges(now(), new double[] {0, 0});
        settle();
    }

    void settle() {
        around.settle();
    }

    /** Time passes with the cores as full as they are, in looks of 10 ms or less. */
    void pass(long ms) {
        for (long left = ms; left > 0; left -= 10) {
            around.now = around.now.plusMillis(Math.min(10, left));
            backend.alarmed(now());
            settle();
        }
    }

    /** Reads one that has come by now. */
    String read(String tariff, String token, String body) {
        return read(tariff, token, null, body, now());
    }

    /** Reads one that came then, and waits from then on. */
    String read(String tariff, String token, String subject, String body, Duration arrival) {
        String name = String.format("%016x", ++around.ids);
        readAs(around.ids, name, tariff, token, subject, body, arrival);
        return name;
    }

    TrackedRequest readAs(
            long id, String name, String tariff, String token, String subject, String body, Duration arrival) {
        List<String> heard = new ArrayList<>();
        around.answers.put(name, heard);
        ResponseSink caller = new RecordingResponseSink(heard);
        TrackedRequest work = backend.arrived(
                now(),
                new Backend.RequestMetadata(
                        id,
                        name,
                        backend.tariff(tariff),
                        tariff,
                        arrival,
                        arrival.plus(wait),
                        10,
                        null,
                        false,
                        token,
                        subject,
                        body.getBytes(StandardCharsets.UTF_8)),
                caller);
        around.taken.put(name, work);
        return work;
    }

    TrackedRequest work(String name) {
        return around.taken.get(name);
    }

    void gone(String name) {
        backend.callerGone(now(), work(name));
    }

    void ended(String name, Outcome how, String result) {
        backend.ended(now(), Long.parseLong(name, 16), how, result.getBytes(StandardCharsets.UTF_8));
    }

    void needsCall(String name) {
        backend.needsCall(now(), Long.parseLong(name, 16), new byte[] {1});
    }

    void replied(String name, Outcome how) {
        backend.callEnded(now(), Long.parseLong(name, 16), how, new byte[] {2});
    }

    List<String> heard(String name) {
        return around.answers.get(name);
    }

    /** Of these, the ones that were launched. */
    List<String> launched(String... names) {
        return List.of(names).stream()
                .filter(name -> around.times("launch " + name) > 0)
                .toList();
    }

    /** What was asked of the agent and of what lies below for this one, in order. */
    List<String> asked(String name) {
        return around.asked.stream()
                .filter(word -> word.endsWith(" " + name))
                .map(word -> word.replace(" " + name, ""))
                .toList();
    }

    static Map<String, String> with(String... pairs) {
        Map<String, String> given = new HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            given.put(pairs[i], pairs[i + 1]);
        }
        return given;
    }

    /** One that ran from its arrival on and is answered; its window of 5 s counts from now. */
    String ran() {
        String first = read("buy", "t", "a");
        settle();
        ended(first, Outcome.OK, "done");
        settle();
        assertEquals(DONE, heard(first));
        return first;
    }
}
