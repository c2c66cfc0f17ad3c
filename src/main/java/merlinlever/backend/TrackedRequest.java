package merlinlever.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/**
 * The state of one request, from its receipt until neither the controller nor a duplicate refers to it any more. Fields
 * are written on the event loop's thread only, each by the class given in its comment.
 */
public final class TrackedRequest {

    private final long id;
    private final String idText;
    private final int priorityClass;
    private final String priorityClassName;
    private final Duration arrivedAt;
    /** The key shared with duplicates, or null if the request cannot have duplicates. */
    private final DuplicateKey duplicateKey;

    /** The controller's handle; written by {@link RequestLifecycle}. */
    private RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;

    /** The request that this one duplicated when received, or null; written by {@link IdempotencyCache}. */
    private TrackedRequest duplicateOf;
    /** The request's payload; null once released by {@link IdempotencyCache} or {@link ResponseTracker}. */
    private byte[] body;
    /** The result of a successful run; written by {@link RequestLifecycle}, released by {@link IdempotencyCache}. */
    private byte[] result;

    /** Receives the response; null once the request is answered; written by {@link ResponseTracker}. */
    private ResponseSink responseSink;
    /** Whether a response was sent or is not needed any more; written by {@link ResponseTracker}. */
    private boolean answered;

    /** Whether a launch command was sent; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    private boolean launched;
    /** Whether a stop command was sent; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    private boolean stopRequested;
    /** Whether a run is being restarted; written by {@link InDoubtCommands} and {@link RequestLifecycle}. */
    private boolean restarting;
    /** The outcome; null before the end; written by {@link RequestLifecycle} and {@link ResponseTracker}. */
    private Outcome outcome;
    /** Duplicates that wait for the run's outcome; written by {@link DecisionExecutor} and {@link ResponseTracker}. */
    private List<TrackedRequest> coalesced = List.of();
    /** Whether the controller has released the request; written by {@link RequestLifecycle}. */
    private boolean released;

    /** The body of the call that the run waits for, or null; written by {@link DownstreamCallTracker}. */
    private byte[] callBody;
    /** The reply to the run's last call, or null; written by {@link DownstreamCallTracker}. */
    private byte[] callReply;
    /** Whether a call to the downstream service is in progress; written by {@link DownstreamCallTracker}. */
    private boolean callInFlight;
    /** When the run's last call was made; written by {@link DownstreamCallTracker}. */
    private Duration calledAt = Duration.ZERO;

    /** Delivery of the launch command; written by {@link InDoubtCommands}. */
    private final CommandDelivery launchDelivery = new CommandDelivery();
    /** Delivery of the last reply command; written by {@link InDoubtCommands}. */
    private final CommandDelivery replyDelivery = new CommandDelivery();

    TrackedRequest(
            RequestMetadata metadata,
            Duration arrivedAt,
            DuplicateKey duplicateKey,
            byte[] body,
            ResponseSink responseSink) {
        id = metadata.id().value();
        idText = metadata.id().text();
        priorityClass = metadata.priorityClass();
        priorityClassName = metadata.priorityClassName();
        this.arrivedAt = arrivedAt;
        this.duplicateKey = duplicateKey;
        this.body = body;
        this.responseSink = responseSink;
    }

    /** Returns the id as a number. */
    public long id() {
        return id;
    }

    /** Returns the id in the form in which it was received. */
    public String idText() {
        return idText;
    }

    /** Returns a string shared by the request and its duplicates; the id if the request cannot have duplicates. */
    public String routingKey() {
        return duplicateKey != null ? duplicateKey.text() : idText;
    }

    /** Returns the name of the priority class, as sent to the agent. */
    public String priorityClassName() {
        return priorityClassName;
    }

    int priorityClass() {
        return priorityClass;
    }

    /** Returns when the request reached this machine. */
    Duration arrivedAt() {
        return arrivedAt;
    }

    /** Returns the key shared with duplicates, or null if the request cannot have duplicates. */
    DuplicateKey duplicateKey() {
        return duplicateKey;
    }

    // ---- the controller's handle

    RequestHandle handle() {
        return handle;
    }

    void setHandle(RequestHandle newHandle) {
        handle = newHandle;
    }

    /** Marks the request as released by the controller. */
    void markReleased() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    // ---- duplicates

    /** Returns the request that this one duplicated when received, or null. */
    TrackedRequest duplicateOf() {
        return duplicateOf;
    }

    void setDuplicateOf(TrackedRequest original) {
        duplicateOf = original;
    }

    boolean hasSameContentAs(TrackedRequest other) {
        return priorityClass == other.priorityClass && Arrays.equals(body, other.body);
    }

    /** Returns the duplicates that wait for the outcome of this request's run. */
    List<TrackedRequest> coalesced() {
        return coalesced;
    }

    /** Adds a duplicate that waits for the outcome of this request's run. */
    void coalesce(TrackedRequest duplicate) {
        if (coalesced.isEmpty()) {
            coalesced = new ArrayList<>(2);
        }
        // Removes answered duplicates, so that a caller that retries repeatedly during one run does not grow the list.
        coalesced.removeIf(waiting -> waiting.answered);
        coalesced.add(duplicate);
    }

    /** Clears the list of waiting duplicates once all have received the outcome. */
    void clearCoalesced() {
        coalesced = List.of();
    }

    // ---- payloads

    /** Returns the payload without copying it; null once released. */
    public byte[] body() {
        return body;
    }

    void releaseBody() {
        body = null;
    }

    /** Returns the result of a successful run; null before the end of the run, after a failure and once released. */
    byte[] result() {
        return result;
    }

    void releasePayloads() {
        body = null;
        result = null;
    }

    // ---- the response

    /** Returns whether a response was sent or is not needed any more. */
    boolean isAnswered() {
        return answered;
    }

    /** Marks the request as answered and returns the sink that waited for the response. */
    ResponseSink closeResponse() {
        ResponseSink sink = responseSink;
        answered = true;
        responseSink = null;
        return sink;
    }

    // ---- the run

    /** Returns whether a launch command was sent. */
    boolean isLaunched() {
        return launched;
    }

    void markLaunched() {
        launched = true;
    }

    /** Returns whether a launch command was sent and the agent has not reported the end of the run. */
    boolean isRunning() {
        return launched && outcome == null;
    }

    /** Returns whether a stop command was sent. */
    boolean isStopRequested() {
        return stopRequested;
    }

    void markStopRequested() {
        stopRequested = true;
    }

    /** Resets the run state after a stop, so that the request can be started again. */
    void returnToQueue() {
        launched = false;
        stopRequested = false;
        restarting = false;
    }

    /** Returns whether the run was stopped to be launched again, so that events of the stopped run may still follow. */
    boolean isRestarting() {
        return restarting;
    }

    /** Discards the state of the run, which is stopped and launched again. */
    void markRestarting() {
        restarting = true;
        releaseCall();
    }

    /** Marks the stopped run as ended: the events that follow are those of the new run. */
    void markRestarted() {
        restarting = false;
    }

    /** Returns how the request ended, or null before its end. */
    Outcome outcome() {
        return outcome;
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Ends the request. The result is kept only if the outcome is {@link Outcome#OK}. */
    void end(Outcome runOutcome, byte[] runResult) {
        outcome = runOutcome;
        result = runOutcome == Outcome.OK ? runResult : null;
    }

    // ---- the downstream call that the run waits for

    /** Returns the body of the call that the run waits for, or null. */
    byte[] callBody() {
        return callBody;
    }

    /** Returns the reply to the run's last call, or null. */
    byte[] callReply() {
        return callReply;
    }

    boolean isCallInFlight() {
        return callInFlight;
    }

    /** Returns when the run's last call was made. */
    Duration calledAt() {
        return calledAt;
    }

    /** Records that the run waits for a call with the body. */
    void awaitCall(byte[] newCallBody) {
        callBody = newCallBody;
        callReply = null;
    }

    void startCall(Duration now) {
        callInFlight = true;
        calledAt = now;
    }

    /** Records that the call failed or was cancelled. The call may be made again. */
    void endCall() {
        callInFlight = false;
    }

    /** Records that the call succeeded, and keeps the reply until the run is known to have received it. */
    void endCall(byte[] reply) {
        callInFlight = false;
        callBody = null;
        callReply = reply;
    }

    /** Records that the run continues without the call. */
    void skipCall() {
        callBody = null;
    }

    /** Releases the body of the call and the reply after the end of the run. */
    void releaseCall() {
        callBody = null;
        callReply = null;
    }

    // ---- commands to the agent

    CommandDelivery launchDelivery() {
        return launchDelivery;
    }

    CommandDelivery replyDelivery() {
        return replyDelivery;
    }
}
