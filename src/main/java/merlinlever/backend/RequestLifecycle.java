package merlinlever.backend;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.Durations;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/**
 * Handles the events of requests: receipt, end of the run, downstream calls and disconnects of callers. Each event
 * updates the request and is passed to the controller, which decides at the end of the batch.
 */
final class RequestLifecycle {

    private final BackendSettings settings;
    private final RequestComponents components;
    private final BatchState batch;
    private final Map<Long, TrackedRequest> requestsById = new LinkedHashMap<>();
    /** Null until the agent is up. */
    private ControllerDriver<TrackedRequest> driver;

    RequestLifecycle(BackendSettings settings, RequestComponents components, BatchState batch) {
        this.settings = settings;
        this.components = components;
        this.batch = batch;
    }

    /** Sets the driver of the controller, which decides on all requests received from now on. */
    void attach(ControllerDriver<TrackedRequest> newDriver) {
        driver = newDriver;
    }

    /** Returns all requests that are still referred to, in the order of their receipt. */
    Collection<TrackedRequest> requests() {
        return requestsById.values();
    }

    /** See {@link Backend#receive}. */
    Optional<TrackedRequest> receive(Duration now, RequestMetadata metadata, byte[] body, ResponseSink sink) {
        if (driver == null) {
            sink.reject(false, Duration.ZERO);
            return Optional.empty();
        }
        // Limits arrival times in the future to the present, so that a duplicate cannot leave its idempotency window.
        Duration arrivedAt = Durations.earlier(metadata.timing().arrivedAt(), now);
        // An arrival far in the past would make the controller assume that all requests wait that long to be read.
        boolean implausible = now.minus(arrivedAt).compareTo(settings.maxReadDelay()) > 0;
        if (implausible || requestsById.containsKey(metadata.id().value())) {
            sink.fail();
            return Optional.empty();
        }
        batch.eventAt(now);
        TrackedRequest request = new TrackedRequest(metadata, arrivedAt, duplicateKey(metadata), body, sink);
        requestsById.put(request.id(), request);
        components.responses().requestReceived();
        RequestHandle original = components.idempotencyCache().register(request);
        request.setHandle(driver.register(submit(now, metadata, arrivedAt, original), request));
        return Optional.of(request);
    }

    private RequestHandle submit(Duration now, RequestMetadata metadata, Duration arrivedAt, RequestHandle original) {
        RequestAttributes attributes = RequestAttributes.ofClass(metadata.priorityClass())
                .readDelay(now.minus(arrivedAt))
                .deadline(metadata.timing().deadline())
                .memoryKb(metadata.cost().memoryKb())
                .costHint(metadata.cost().runTimeHint())
                .retry(metadata.retry())
                .shareable(metadata.subject().isPresent())
                .original(Optional.ofNullable(original))
                .build();
        return driver.controller().submit(now, attributes);
    }

    private DuplicateKey duplicateKey(RequestMetadata metadata) {
        if (metadata.idempotencyKey().isPresent()) {
            return DuplicateKey.ofIdempotencyKey(metadata.idempotencyKey().get());
        }
        if (metadata.subject().isPresent() && settings.sharesReads(metadata.priorityClass())) {
            return DuplicateKey.ofSharedRead(
                    metadata.priorityClass(), metadata.subject().get());
        }
        return null;
    }

    /** See {@link Backend#callerDisconnected}. */
    void callerDisconnected(Duration now, TrackedRequest request) {
        if (request.isAnswered()) {
            return;
        }
        batch.eventAt(now);
        components.responses().close(request);
        request.handle().callerGone(now);
        components.downstreamCalls().cancel(request);
    }

    /** See {@link Backend#runEnded}. */
    void runEnded(Duration now, long id, Outcome outcome, byte[] result) {
        TrackedRequest request = requestsById.get(id);
        if (request == null || !request.isRunning()) {
            return;
        }
        if (outcome == Outcome.STOPPED && request.isRestarting() && !request.isStopRequested()) {
            request.markRestarted();
            return;
        }
        batch.eventAt(now);
        if (outcome == Outcome.STOPPED && request.isStopRequested() && !request.isAnswered()) {
            // The caller still waits for the response, so the controller may start the request again.
            request.returnToQueue();
            request.handle().runEnded(now, outcome);
            return;
        }
        request.end(outcome, result);
        components.downstreamCalls().runEnded(request);
        components.responses().runEnded(request, now, outcome, result);
        components.idempotencyCache().runEnded(request, now);
    }

    /** See {@link Backend#callNeeded}. */
    void callNeeded(Duration now, long id, byte[] body) {
        TrackedRequest request = requestsById.get(id);
        // A call of a run that was stopped to be launched again needs no reply.
        if (request != null && request.isRunning() && !request.isRestarting()) {
            batch.eventAt(now);
            components.commands().callNeeded(request);
            components.downstreamCalls().callNeeded(request, body);
            request.handle().callNeeded(now);
        }
    }

    /** See {@link Backend#callEnded}. */
    void callEnded(Duration now, long id, Outcome outcome, byte[] reply) {
        TrackedRequest request = requestsById.get(id);
        if (request == null || !request.isCallInFlight()) {
            return;
        }
        batch.eventAt(now);
        Duration elapsed = components.downstreamCalls().callEnded(request, now, outcome, reply);
        if (outcome == Outcome.OK) {
            components.runQueue().runStarted();
            components.commands().deliverReply(request, now);
        }
        request.handle().callEnded(now, outcome, elapsed);
    }

    /** See {@link Backend#agentEventsLost}. */
    void agentEventsLost(Duration now) {
        for (TrackedRequest request : List.copyOf(requests())) {
            if (request.isRunning()) {
                runEnded(now, request.id(), Outcome.ERROR, null);
            }
        }
    }

    /** Removes a request that the controller does not refer to any more. */
    void release(TrackedRequest request) {
        requestsById.remove(request.id());
        request.markReleased();
        components.idempotencyCache().evict(request);
    }
}
