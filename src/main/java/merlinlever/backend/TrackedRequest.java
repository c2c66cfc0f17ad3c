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

    final long id;
    final String idText;
    final int priorityClass;
    final String priorityClassName;
    final Duration arrivedAt;
    /** What duplicates of it are known by, or null if it has none. */
    final DuplicateKey duplicateKey;

    /** The controller's handle; written by {@link RequestLifecycle}. */
    RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;

    /** The request that this one duplicated when it arrived, or null; written by {@link IdempotencyCache}. */
    TrackedRequest duplicateOf;
    /** The payload of the request; null once it is released by {@link IdempotencyCache} or {@link ResponseTracker}. */
    byte[] body;
    /** The result of a successful run; written by {@link RequestLifecycle}, released by {@link IdempotencyCache}. */
    byte[] result;

    /** Who waits for the response, or null once it is answered; written by {@link ResponseTracker}. */
    ResponseSink responseSink;
    /** Whether no response is owed any more; written by {@link ResponseTracker}. */
    boolean answered;

    /** Whether the agent was told to run it; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    boolean launched;
    /** Whether the agent was told to stop the run; written by {@link RequestLifecycle} and {@link DecisionExecutor}. */
    boolean stopRequested;
    /** How the request ended, or null before that; written by {@link RequestLifecycle} and {@link ResponseTracker}. */
    Outcome outcome;
    /**
     * The duplicates that wait for the outcome of the run; written by {@link DecisionExecutor} and
     * {@link ResponseTracker}.
     */
    List<TrackedRequest> coalesced = List.of();
    /** Whether nothing names it any more; written by {@link RequestLifecycle}. */
    boolean released;

    /** The body of the call that the run waits for, or null; written by {@link DownstreamCallTracker}. */
    byte[] callBody;
    /** The reply to the run's last call until the run gets on, or null; written by {@link DownstreamCallTracker}. */
    byte[] callReply;
    /** Whether the run's call is with the downstream service; written by {@link DownstreamCallTracker}. */
    boolean callInFlight;
    /** When the run's last call was made; written by {@link DownstreamCallTracker}. */
    Duration calledAt = Duration.ZERO;

    /** When the launch was last sent; written by {@link InDoubtCommands}. */
    Duration launchedAt = Duration.ZERO;
    /** When a reply was last sent; written by {@link InDoubtCommands}. */
    Duration repliedAt = Duration.ZERO;
    /** Whether the launch may be lost with a link; written by {@link InDoubtCommands}. */
    boolean launchInDoubt;
    /** Whether the reply may be lost with a link; written by {@link InDoubtCommands}. */
    boolean replyInDoubt;

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

    /** The payload, which is not copied. */
    public byte[] body() {
        return body;
    }

    boolean hasEnded() {
        return outcome != null;
    }

    /** Whether the agent was told to run it and has not reported the end. */
    boolean isRunning() {
        return launched && outcome == null;
    }

    boolean hasSameContentAs(TrackedRequest other) {
        return priorityClass == other.priorityClass && Arrays.equals(body, other.body);
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
}
