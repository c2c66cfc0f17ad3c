package merlinlever.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/**
 * One request, from its receipt until neither the controller nor a duplicate can name it any more. Its state is written
 * on the loop's thread only, each field by the class named beside it.
 */
public final class TrackedRequest {

    private final long id;
    private final String idText;
    private final int priorityClass;
    private final String priorityClassName;
    private final Duration arrivedAt;
    /** What duplicates of it are known by, or null if it has none. */
    private final DuplicateKey duplicateKey;

    /** The controller's handle; written by {@link RequestLifecycle}. */
    private RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;

    /** The request that this one duplicated when it arrived, or null; written by {@link IdempotencyCache}. */
    private TrackedRequest duplicateOf;
    /** The payload of the request; null once it is released by {@link IdempotencyCache} or {@link ResponseTracker}. */
    private byte[] body;
    /** The result of a successful run; written by {@link RequestLifecycle}, released by {@link IdempotencyCache}. */
    private byte[] result;

    /** Who waits for the response, or null once it is answered; written by {@link ResponseTracker}. */
    private ResponseSink responseSink;
    /** Whether no response is owed any more; written by {@link ResponseTracker}. */
    private boolean answered;

    /** Whether the agent was told to run it; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    private boolean launched;
    /** Whether the agent was told to stop the run; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    private boolean stopRequested;
    /** How the request ended, or null before that; written by {@link RequestLifecycle} and {@link ResponseTracker}. */
    private Outcome outcome;
    /**
     * The duplicates that wait for the outcome of the run; written by {@link DecisionExecutor} and
     * {@link ResponseTracker}.
     */
    private List<TrackedRequest> coalesced = List.of();
    /** Whether nothing names it any more; written by {@link RequestLifecycle}. */
    private boolean released;

    /** The body of the call that the run waits for, or null; written by {@link DownstreamCallTracker}. */
    private byte[] callBody;
    /** The reply to the run's last call until the run continues, or null; written by {@link DownstreamCallTracker}. */
    private byte[] callReply;
    /** Whether the run's call is with the downstream service; written by {@link DownstreamCallTracker}. */
    private boolean callInFlight;
    /** When the run's last call was made; written by {@link DownstreamCallTracker}. */
    private Duration calledAt = Duration.ZERO;

    /** Written by {@link InDoubtCommands}. */
    private final CommandDelivery launchDelivery = new CommandDelivery();
    /** Of the reply to a call; written by {@link InDoubtCommands}. */
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

    /** The id as a number. */
    public long id() {
        return id;
    }

    /** The id as it was received. */
    public String idText() {
        return idText;
    }

    /** A text that the request has in common with its duplicates; its id if it can have none. */
    public String routingKey() {
        return duplicateKey != null ? duplicateKey.text() : idText;
    }

    /** The name of the priority class, as the agent knows it. */
    public String priorityClassName() {
        return priorityClassName;
    }

    int priorityClass() {
        return priorityClass;
    }

    /** When it reached this machine. */
    Duration arrivedAt() {
        return arrivedAt;
    }

    /** What duplicates of it are known by, or null if it has none. */
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

    /** The controller will not name the request again. */
    void markReleased() {
        released = true;
    }

    boolean isReleased() {
        return released;
    }

    // ---- duplicates

    /** The request that this one duplicated when it arrived, or null. */
    TrackedRequest duplicateOf() {
        return duplicateOf;
    }

    void setDuplicateOf(TrackedRequest original) {
        duplicateOf = original;
    }

    boolean hasSameContentAs(TrackedRequest other) {
        return priorityClass == other.priorityClass && Arrays.equals(body, other.body);
    }

    /** The duplicates that wait for the outcome of this request's run. */
    List<TrackedRequest> coalesced() {
        return coalesced;
    }

    /** The duplicate waits for the outcome of this request's run. */
    void coalesce(TrackedRequest duplicate) {
        if (coalesced.isEmpty()) {
            coalesced = new ArrayList<>(2);
        }
        // A caller that retries many times during one run leaves at most one entry behind.
        coalesced.removeIf(waiting -> waiting.answered);
        coalesced.add(duplicate);
    }

    /** All duplicates that waited have got the outcome. */
    void clearCoalesced() {
        coalesced = List.of();
    }

    // ---- payloads

    /** The payload, which is not copied; null once it is released. */
    public byte[] body() {
        return body;
    }

    void releaseBody() {
        body = null;
    }

    /** The result of a successful run; null before the end, after a failure and once it is released. */
    byte[] result() {
        return result;
    }

    void releasePayloads() {
        body = null;
        result = null;
    }

    // ---- the response

    /** Whether no response is owed any more. */
    boolean isAnswered() {
        return answered;
    }

    /** No response is owed from now on; returns the sink that waited for it. */
    ResponseSink closeResponse() {
        ResponseSink sink = responseSink;
        answered = true;
        responseSink = null;
        return sink;
    }

    // ---- the run

    /** Whether the agent was told to run it. */
    boolean isLaunched() {
        return launched;
    }

    void markLaunched() {
        launched = true;
    }

    /** Whether the agent was told to run it and has not reported the end. */
    boolean isRunning() {
        return launched && outcome == null;
    }

    /** Whether the agent was told to stop the run. */
    boolean isStopRequested() {
        return stopRequested;
    }

    void markStopRequested() {
        stopRequested = true;
    }

    /** The run was stopped, and the request may be started again. */
    void returnToQueue() {
        launched = false;
        stopRequested = false;
    }

    /** How the request ended, or null before that. */
    Outcome outcome() {
        return outcome;
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** The request has ended; the result is kept only with {@link Outcome#OK}. */
    void end(Outcome runOutcome, byte[] runResult) {
        outcome = runOutcome;
        result = runOutcome == Outcome.OK ? runResult : null;
    }

    // ---- the downstream call that the run waits for

    /** The body of the call that the run waits for, or null. */
    byte[] callBody() {
        return callBody;
    }

    /** The reply to the run's last call until the run continues, or null. */
    byte[] callReply() {
        return callReply;
    }

    boolean isCallInFlight() {
        return callInFlight;
    }

    /** When the run's last call was made. */
    Duration calledAt() {
        return calledAt;
    }

    /** The run waits for a call with this body. */
    void needCall(byte[] newCallBody) {
        callBody = newCallBody;
        callReply = null;
    }

    void startCall(Duration now) {
        callInFlight = true;
        calledAt = now;
    }

    /** The call has failed or was abandoned; it may be made again. */
    void endCall() {
        callInFlight = false;
    }

    /** The call has succeeded; the reply is kept until the run is known to have it. */
    void endCall(byte[] reply) {
        callInFlight = false;
        callBody = null;
        callReply = reply;
    }

    /** The run continues without the call that it waited for. */
    void skipCall() {
        callBody = null;
    }

    /** The run has ended: neither its call nor the reply to it is of use. */
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
