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
import java.util.function.Consumer;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.controller.settings.RunStopping;

/**
 * A backend with a simulated clock and recording dependencies. Each event is a separate batch, on which the controller
 * decides immediately.
 */
final class BackendFixture extends RecordingDependencies {

    /** Index of the priority class "look", whose requests are idempotent. */
    static final int LOOK = 0;
    /** Index of the priority class "buy", whose requests have idempotency keys. */
    static final int BUY = 1;

    private static final ControllerSettings SETTINGS = ControllerSettings.builder()
            .cores(4)
            .memoryKb(20_000)
            .runMemoryFactor(4)
            .gauges(List.of(Gauge.CPU_BUSY, Gauge.RUN_QUEUE))
            .deployment(new DeploymentProfile(DownstreamKind.NONE, RunStopping.DROP, false, BackpressureSignal.NONE))
            .overloadFactor(8)
            .drainGrace(Duration.ofMillis(500))
            .addPriorityClass(PriorityClassSettings.named("look")
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .latencyObjective(Duration.ofMillis(500))
                    .clientTimeout(Duration.ofSeconds(1)))
            .addPriorityClass(PriorityClassSettings.named("buy")
                    .semantics(RequestSemantics.IDEMPOTENT_BY_KEY)
                    .latencyObjective(Duration.ofMillis(500))
                    .clientTimeout(Duration.ofSeconds(1))
                    .idempotencyWindow(Duration.ofSeconds(5)))
            .build();

    /** The body of each downstream call. */
    static final byte[] CALL = {1};
    /** The reply to each downstream call. */
    static final byte[] REPLY = {2};

    private static final long SEED = 5;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(1);

    /** The responses to each request, by request id. */
    final Map<String, List<String>> responsesById = new HashMap<>();
    /** The tracked requests by id, without requests that were answered as soon as they were received. */
    final Map<String, TrackedRequest> requestsById = new HashMap<>();

    final Backend backend;
    Duration now = Duration.ofSeconds(1);
    /** Null while no wake-up is scheduled. */
    Duration nextWakeUp;

    long lastId;
    /** The downstream service; replaced by tests that implement the service themselves. */
    DownstreamService downstream = this;

    /** @param change changes the default settings */
    BackendFixture(Consumer<ControllerSettings.Builder> change) {
        super(new ArrayList<>());
        ControllerSettings.Builder settings = SETTINGS.toBuilder();
        change.accept(settings);
        backend = new Backend(settings.build(), SEED, this);
        backend.agentStarted(now, false);
        decide();
    }

    BackendFixture() {
        this(settings -> {});
    }

    /** Creates a backend with the default settings whose agent is not up. */
    Backend backendBeforeAgent() {
        return new Backend(SETTINGS, SEED, this);
    }

    /** Receives a request that has just arrived, and returns the request id. */
    String receive(String priorityClass, String idempotencyKey, String body) {
        RequestId id = TestRequests.idOf(++lastId);
        Timing timing = new Timing(now, Optional.of(now.plus(CALLER_TIMEOUT)));
        receive(metadata(id, priorityClass, timing, idempotencyKey, null), body);
        decide();
        return id.text();
    }

    /** Creates metadata of a request of the named class; the idempotency key and the subject may be null. */
    RequestMetadata metadata(RequestId id, String priorityClass, Timing timing, String idempotencyKey, String subject) {
        return TestRequests.metadata(
                id, backend.priorityClassIndex(priorityClass), priorityClass, timing, idempotencyKey, subject);
    }

    /** Receives a request in the current batch, without a decision. */
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

    /** Advances the clock with idle cores, and fires the wake-ups that are due. */
    void advance(long ms) {
        Duration end = now.plusMillis(ms);
        while (nextWakeUp != null && nextWakeUp.compareTo(end) <= 0) {
            now = nextWakeUp.compareTo(now) > 0 ? nextWakeUp : now;
            nextWakeUp = null;
            backend.wakeUp(now);
            backend.metricsReceived(now, new double[] {0, 0});
            decide();
        }
        now = end;
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

    /** Receives an idempotent request whose run gets the reply to its first call. */
    String receiveAndReply() {
        String id = receive("look", null, "a");
        requestCall(id);
        endCall(id, Outcome.OK);
        return id;
    }

    void loseLink() {
        backend.agentLinkLost(now);
    }

    void restoreLink() {
        backend.agentLinkRestored(now);
    }

    void catchUp() {
        backend.agentEventsCaughtUp(now);
        decide();
    }

    void replaceLink() {
        loseLink();
        restoreLink();
        catchUp();
    }

    /** Returns the names of the commands for the request, in order. */
    List<String> commandsOf(String id) {
        return commands.stream()
                .filter(command -> command.endsWith(" " + id))
                .map(command -> command.substring(0, command.indexOf(' ')))
                .toList();
    }

    long count(String command) {
        return commands.stream().filter(command::equals).count();
    }

    /** Returns the response to the request, and asserts that there is only one. */
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
