package merlinlever.backend;

import java.time.Duration;
import java.util.Collection;

/**
 * Sends launches and replies to the agent, and sends those again that a broken link may have lost. A command is in
 * doubt if it left shortly before the link broke or while there was none; it is sent again once all events of that time
 * have been read. A command that surely arrived is not sent again: its run may have ended by now, and would run twice.
 */
final class InDoubtCommands {

    /** A command that left at most this long before the link broke may be lost: 50 ms on the way, and some spare. */
    private static final Duration MAX_TRANSIT = Duration.ofMillis(55);

    private final BackendDependencies dependencies;
    /** Commands that left from then on are in doubt; null while none is. */
    private Duration inDoubtFrom;

    InDoubtCommands(BackendDependencies dependencies) {
        this.dependencies = dependencies;
    }

    void launch(TrackedRequest request, Duration now) {
        request.launchDelivery().sent(now);
        dependencies.launch(request);
    }

    void deliverReply(TrackedRequest request, Duration now) {
        request.replyDelivery().sent(now);
        dependencies.deliverReply(request, request.callReply());
    }

    /** The link is lost, and was last known to work at that time. */
    void linkLost(Duration lastConfirmed) {
        Duration from = lastConfirmed.minus(MAX_TRANSIT);
        if (inDoubtFrom == null || from.compareTo(inDoubtFrom) < 0) {
            inDoubtFrom = from;
        }
    }

    /** There is a new link: what is sent from now on is in doubt only if that one is lost too. */
    void linkRestored(Collection<TrackedRequest> requests) {
        for (TrackedRequest request : requests) {
            request.launchDelivery().linkReplaced(inDoubtFrom);
            request.replyDelivery().linkReplaced(inDoubtFrom);
        }
    }

    /** All events of the time without a link have been read: sends again what is in doubt. */
    void resend(Collection<TrackedRequest> requests, Duration now) {
        // What is sent below gets a new time, and with the next lost link is in doubt again.
        inDoubtFrom = null;
        for (TrackedRequest request : requests) {
            if (!request.isRunning()) {
                continue;
            }
            if (request.launchDelivery().isInDoubt() && request.callBody() == null && request.callReply() == null) {
                launch(request, now);
            }
            // A second copy could be taken for the reply to the next call of the run: only where it is in doubt.
            if (request.replyDelivery().isInDoubt() && request.callReply() != null) {
                deliverReply(request, now);
            }
            if (request.isStopRequested()) {
                dependencies.stop(request);
            }
        }
    }
}
