package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.ControllerSettings;

/** A backend whose batches the test controls: decisions and the clock's advance happen only when the test asks. */
final class BatchedBackendFixture {

    static final List<String> SUCCEEDED = List.of("succeeded done");
    static final List<String> REJECTED = List.of("rejected");
    static final List<String> FAILED = List.of("failed");
    static final List<String> UNANSWERED = List.of();

    private static final int CORES = 4;

    final BackendFixture fixture;
    final Backend backend;
    /** How long callers wait after the arrival of their request. */
    Duration callerTimeout = Duration.ofSeconds(1);

    /** @param change changes the default settings of {@link BackendFixture} */
    BatchedBackendFixture(Consumer<ControllerSettings.Builder> change) {
        fixture = new BackendFixture(change);
        backend = fixture.backend;
    }

    BatchedBackendFixture() {
        this(settings -> {});
    }

    Duration now() {
        return fixture.now;
    }

    /** Fills the cores, so that the following requests are queued. */
    BatchedBackendFixture fillCores() {
        for (int i = 0; i < CORES; i++) {
            fixture.receive("look", null, "busy" + i);
        }
        return this;
    }

    /** Reports idle cores, so that queued requests are started up to the number of cores. */
    void freeCores() {
        backend.wakeUp(now());
        backend.metricsReceived(now(), new double[] {0, 0});
        decide();
    }

    void decide() {
        fixture.decide();
    }

    /** Advances the clock in steps of at most 10 ms with a decision after each, without new metrics of the cores. */
    void advance(long ms) {
        for (long remainingMs = ms; remainingMs > 0; remainingMs -= 10) {
            fixture.now = fixture.now.plusMillis(Math.min(10, remainingMs));
            backend.wakeUp(now());
            decide();
        }
    }

    /** Moves the clock without a wake-up or a decision. */
    void moveClock(long ms) {
        fixture.now = fixture.now.plusMillis(ms);
    }

    boolean isWakeUpScheduled() {
        return fixture.nextWakeUp != null;
    }

    /** Receives a request that has just arrived, and returns the request id. */
    String receive(String priorityClass, String idempotencyKey, String body) {
        return receive(priorityClass, idempotencyKey, null, body, now());
    }

    /** Receives a request that arrived at the given time, when its caller began to wait, and returns the request id. */
    String receive(String priorityClass, String idempotencyKey, String subject, String body, Duration arrivedAt) {
        RequestId id = TestRequests.idOf(++fixture.lastId);
        receiveAs(id, priorityClass, idempotencyKey, subject, body, arrivedAt);
        return id.text();
    }

    Optional<TrackedRequest> receiveAs(
            RequestId id,
            String priorityClass,
            String idempotencyKey,
            String subject,
            String body,
            Duration arrivedAt) {
        Timing timing = new Timing(arrivedAt, Optional.of(arrivedAt.plus(callerTimeout)));
        return fixture.receive(fixture.metadata(id, priorityClass, timing, idempotencyKey, subject), body);
    }

    TrackedRequest request(String id) {
        return fixture.requestsById.get(id);
    }

    void disconnectCaller(String id) {
        fixture.disconnectCaller(id);
    }

    void endRun(String id, Outcome outcome, String result) {
        backend.runEnded(now(), Long.parseLong(id, 16), outcome, result.getBytes(StandardCharsets.UTF_8));
    }

    void requestCall(String id) {
        backend.callNeeded(now(), Long.parseLong(id, 16), BackendFixture.CALL.clone());
    }

    void endCall(String id, Outcome outcome) {
        backend.callEnded(now(), Long.parseLong(id, 16), outcome, BackendFixture.REPLY.clone());
    }

    List<String> responses(String id) {
        return fixture.responsesById.get(id);
    }

    /** Returns those of the requests that were launched. */
    List<String> launched(String... ids) {
        return List.of(ids).stream()
                .filter(id -> fixture.count("launch " + id) > 0)
                .toList();
    }

    /** Returns how often the command was sent to the agent or to the downstream service. */
    long count(String command) {
        return fixture.count(command);
    }

    /** Returns the commands that were sent to the agent and to the downstream service for the request, in order. */
    List<String> commands(String id) {
        return fixture.commands.stream()
                .filter(command -> command.endsWith(" " + id))
                .map(command -> command.replace(" " + id, ""))
                .toList();
    }

    /** Creates a backend with the given idempotency window of the priority class "buy", in milliseconds. */
    static BatchedBackendFixture withBuyWindow(long ms) {
        return new BatchedBackendFixture(settings ->
                settings.changePriorityClass(BackendFixture.BUY, buy -> buy.idempotencyWindow(Duration.ofMillis(ms))));
    }

    /** Receives a request that is run and answered immediately; its idempotency window of 5 s begins now. */
    String receiveAndComplete() {
        String first = receive("buy", "t", "a");
        decide();
        endRun(first, Outcome.OK, "done");
        decide();
        assertEquals(SUCCEEDED, responses(first));
        return first;
    }
}
