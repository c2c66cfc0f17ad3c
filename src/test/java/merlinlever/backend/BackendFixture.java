package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.controller.Outcome;

/**
 * A backend with a clock and dependencies of the test's own. Each event is a batch: the controller decides on it at
 * once.
 */
final class BackendFixture extends RecordingDependencies {

    static final Map<String, String> SETTINGS = Map.ofEntries(
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

    /** The body of each downstream call. */
    static final byte[] CALL = {1};
    /** The reply to each downstream call. */
    static final byte[] REPLY = {2};

    private static final long SEED = 5;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(1);

    /** The responses to each request, by its id. */
    final Map<String, List<String>> responsesById = new HashMap<>();
    /** What the backend tracks of each request that it did not answer on the spot, by its id. */
    final Map<String, TrackedRequest> requestsById = new HashMap<>();

    final Backend backend;
    Duration now = Duration.ofSeconds(1);
    /** Null while no wake-up is scheduled. */
    Duration nextWakeUp;

    long lastId;
    /** Where downstream calls go, unless a test plays the downstream service itself. */
    DownstreamService downstream = this;

    BackendFixture(Map<String, String> changedSettings) {
        super(new ArrayList<>());
        Map<String, String> settings = new HashMap<>(SETTINGS);
        settings.putAll(changedSettings);
        backend = new Backend(settings, SEED, this);
        backend.agentStarted(now, false);
        decide();
    }

    BackendFixture() {
        this(Map.of());
    }

    /** A backend of the same settings whose agent is not up. */
    Backend backendBeforeAgent() {
        return new Backend(SETTINGS, SEED, this);
    }

    /** Receives a request that has just arrived; its id is returned. */
    String receive(String priorityClass, String idempotencyKey, String body) {
        RequestId id = TestRequests.idOf(++lastId);
        Timing timing = new Timing(now, Optional.of(now.plus(CALLER_TIMEOUT)));
        receive(metadata(id, priorityClass, timing, idempotencyKey, null), body);
        decide();
        return id.text();
    }

    /** Metadata of a request of the named class, with an idempotency key and a subject or null. */
    RequestMetadata metadata(RequestId id, String priorityClass, Timing timing, String idempotencyKey, String subject) {
        return TestRequests.metadata(
                id, backend.priorityClassIndex(priorityClass), priorityClass, timing, idempotencyKey, subject);
    }

    /** Receives a request in the present batch, without a decision. */
    Optional<TrackedRequest> receive(RequestMetadata metadata, String body) {
        String id = metadata.id().text();
        List<String> responses = new ArrayList<>();
        responsesById.put(id, responses);
        Optional<TrackedRequest> received = backend.receive(
                now, metadata, body.getBytes(StandardCharsets.UTF_8), new RecordingResponseSink(responses));
        received.ifPresent(request -> requestsById.put(id, request));
        return received;
    }

    void decide() {
        backend.decide(now);
    }

    /** Lets time pass, with the wake-ups that are due and with idle cores. */
    void advance(long ms) {
        Duration until = now.plusMillis(ms);
        while (nextWakeUp != null && nextWakeUp.compareTo(until) <= 0) {
            now = nextWakeUp.compareTo(now) > 0 ? nextWakeUp : now;
            nextWakeUp = null;
            backend.wakeUp(now);
            backend.metricsReceived(now, new double[] {0, 0});
            decide();
        }
        now = until;
        decide();
    }

    void disconnectCaller(String id) {
        backend.callerDisconnected(now, requestsById.get(id));
    }

    void endRun(String id, Outcome outcome, String result) {
        backend.runEnded(now, Long.parseLong(id, 16), outcome, result.getBytes(StandardCharsets.UTF_8));
        decide();
    }

    void requestCall(String id) {
        backend.callNeeded(now, Long.parseLong(id, 16), CALL.clone());
        decide();
    }

    void endCall(String id, Outcome outcome) {
        backend.callEnded(now, Long.parseLong(id, 16), outcome, REPLY.clone());
        decide();
    }

    long count(String command) {
        return commands.stream().filter(command::equals).count();
    }

    /** The only response to the request. */
    String response(String id) {
        assertEquals(1, responsesById.get(id).size(), id + ": " + responsesById.get(id));
        return responsesById.get(id).get(0);
    }

    @Override
    public void deliverReply(TrackedRequest request, byte[] reply) {
        assertArrayEquals(REPLY, reply);
        super.deliverReply(request, reply);
    }

    @Override
    public void call(TrackedRequest request, byte[] body, Duration timeout) {
        assertArrayEquals(CALL, body);
        super.call(request, body, timeout);
    }

    @Override
    public DownstreamService downstream() {
        return downstream;
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        nextWakeUp = at;
    }
}
