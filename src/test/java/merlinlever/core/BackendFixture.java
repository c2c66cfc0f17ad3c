package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.Outcome;

/** All parties round a backend: what was asked of them, as words, and what the callers were answered. */
final class BackendFixture implements BackendDependencies, DownstreamService {

    static final Map<String, String> GIVEN = Map.ofEntries(
            Map.entry("server.cores", "4"),
            Map.entry("server.memory-kb", "20000"),
            Map.entry("server.run-factor", "4"),
            Map.entry("server.gauges", "busy,run-queue"),
            Map.entry("server.halt", "drop"),
            Map.entry("server.calls-by-tariff", "true,true"),
            Map.entry("rules.crowd-factor", "8"),
            Map.entry("rules.drain-grace", "500"),
            Map.entry("tariffs.0.name", "look"),
            Map.entry("tariffs.0.kind", "retriable"),
            Map.entry("tariffs.0.soft-limit", "500"),
            Map.entry("tariffs.0.client-timeout", "1000"),
            Map.entry("tariffs.1.name", "buy"),
            Map.entry("tariffs.1.kind", "fingerprinted"),
            Map.entry("tariffs.1.soft-limit", "500"),
            Map.entry("tariffs.1.client-timeout", "1000"),
            Map.entry("tariffs.1.window", "5000"));

    final List<String> asked = new ArrayList<>();
    final Map<String, List<String>> answers = new HashMap<>();
    final Map<String, TrackedRequest> taken = new HashMap<>();
    final Backend backend;
    Duration now = Duration.ofSeconds(1);
    Duration alarm;
    long ids;
    /** Where calls go; to be set by who plays what lies below. */
    DownstreamService below = this;

    BackendFixture(Map<String, String> more) {
        Map<String, String> given = new HashMap<>(GIVEN);
        given.putAll(more);
        backend = new Backend(given, 5, this);
        backend.started(now, false);
        settle();
    }

    BackendFixture() {
        this(Map.of());
    }

    String take(String tariff, String token, String body) {
        String name = String.format("%016x", ++ids);
        List<String> heard = new ArrayList<>();
        answers.put(name, heard);
        ResponseSink caller = new RecordingResponseSink(heard);
        taken.put(
                name,
                backend.arrived(
                        now,
                        new Backend.RequestMetadata(
                                ids,
                                name,
                                backend.tariff(tariff),
                                tariff,
                                now,
                                now.plusMillis(1000),
                                10,
                                null,
                                false,
                                token,
                                null,
                                body.getBytes(StandardCharsets.UTF_8)),
                        caller));
        settle();
        return name;
    }

    void settle() {
        backend.settle(now);
    }

    void after(long ms) {
        Duration until = now.plusMillis(ms);
        while (alarm != null && alarm.compareTo(until) <= 0) {
            now = alarm.compareTo(now) > 0 ? alarm : now;
            alarm = null;
            backend.alarmed(now);
            backend.gauges(now, new double[] {0, 0});
            settle();
        }
        now = until;
        settle();
    }

    void ends(String name, Outcome how, String result) {
        backend.ended(now, Long.parseLong(name, 16), how, result.getBytes(StandardCharsets.UTF_8));
        settle();
    }

    void calls(String name) {
        backend.needsCall(now, Long.parseLong(name, 16), new byte[] {1});
        settle();
    }

    void replied(String name, Outcome how) {
        backend.callEnded(now, Long.parseLong(name, 16), how, new byte[] {2});
        settle();
    }

    long times(String what) {
        return asked.stream().filter(what::equals).count();
    }

    String answer(String name) {
        assertEquals(1, answers.get(name).size(), name + ": " + answers.get(name));
        return answers.get(name).get(0);
    }

    @Override
    public void launch(TrackedRequest work) {
        asked.add("launch " + work.name());
    }

    @Override
    public void freeze(TrackedRequest work) {
        asked.add("freeze " + work.name());
    }

    @Override
    public void deliver(TrackedRequest work, byte[] reply) {
        assertArrayEquals(new byte[] {2}, reply);
        asked.add("deliver " + work.name());
    }

    @Override
    public void forgo(TrackedRequest work) {
        asked.add("forgo " + work.name());
    }

    @Override
    public boolean sample() {
        return true;
    }

    @Override
    public void exercise() {
        asked.add("exercise");
    }

    @Override
    public DownstreamService calls() {
        return below;
    }

    @Override
    public void call(TrackedRequest work, byte[] body, Duration within) {
        assertArrayEquals(new byte[] {1}, body);
        asked.add("call " + work.name());
    }

    @Override
    public void giveUp(TrackedRequest work) {
        asked.add("give up " + work.name());
    }

    @Override
    public void closeIdle(Duration after) {}

    @Override
    public void alarm(Duration at) {
        alarm = at;
    }

    @Override
    public void log(String line) {}
}
