package merlinlever.backend;

import java.time.Duration;
import java.util.Collection;

/**
 * Sends launch and reply commands to the agent, and resends commands that a broken link may have lost. A command is in
 * doubt if it was sent shortly before the link broke or while there was no link. Commands in doubt are resent once all
 * agent events of the time without a link have been read. Commands that are known to have arrived are not resent:
 * resending a launch whose run has ended would run the request twice.
 */
final class InDoubtCommands {

    /** Longest time for a command to reach the agent: 50 ms of network latency plus a margin. */
    private static final Duration MAX_TRANSIT = Duration.ofMillis(55);

    private final BackendDependencies dependencies;
    /** Commands sent at or after this time are in doubt; null while no command is. */
    private Duration inDoubtFrom;

    InDoubtCommands(BackendDependencies dependencies) {
        this.dependencies = dependencies;
    }

    void launch(TrackedRequest request, Duration now) {
        request.launchDelivery().markSent(now);
        dependencies.launch(request);
    }

    void deliverReply(TrackedRequest request, Duration now) {
        request.replyDelivery().markSent(now);
        dependencies.deliverReply(request, request.callReply());
    }

    /** Handles the loss of the link, given when the link was last confirmed to work. */
    void linkLost(Duration lastConfirmed) {
        Duration from = lastConfirmed.minus(MAX_TRANSIT);
        if (inDoubtFrom == null || from.compareTo(inDoubtFrom) < 0) {
            inDoubtFrom = from;
        }
    }

    /** Handles a new link: marks the commands sent before it that are in doubt. Later commands use the new link. */
    void linkRestored(Collection<TrackedRequest> requests) {
        for (TrackedRequest request : requests) {
            request.launchDelivery().linkReplaced(inDoubtFrom);
            request.replyDelivery().linkReplaced(inDoubtFrom);
        }
    }

    /** Resends commands in doubt, once all agent events of the time without a link have been read. */
    void resend(Collection<TrackedRequest> requests, Duration now) {
        // The commands sent below get a new sending time, so the loss of the next link can put them in doubt again.
        inDoubtFrom = null;
        for (TrackedRequest request : requests) {
            if (!request.isRunning()) {
                continue;
            }
            if (request.launchDelivery().isInDoubt() && request.callBody() == null && request.callReply() == null) {
                launch(request, now);
            }
            // Replies that arrived are not resent: a second copy could be mistaken for the reply to the next call.
            if (request.replyDelivery().isInDoubt() && request.callReply() != null) {
                deliverReply(request, now);
            }
            if (request.isStopRequested()) {
                dependencies.stop(request);
            }
        }
    }
}
