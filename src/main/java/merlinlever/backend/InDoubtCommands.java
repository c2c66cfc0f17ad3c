package merlinlever.backend;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/**
 * Sends launch and reply commands to the agent, and handles commands that a broken link may have lost. A command is in
 * doubt if it was sent shortly before the link broke, and no event of its run proves that it arrived. Once all agent
 * events of the time without a link have been read:
 *
 * <ul>
 *   <li>commands that were issued while there was no link are sent;
 *   <li>a launch in doubt is resent if the request may run any number of times;
 *   <li>any other launch in doubt is not resent: if it arrived, its run may have ended since the last event that was
 *       read, and would take effect a second time. The controller waits for an event of the run, and gives the run up
 *       if there is none;
 *   <li>a reply in doubt is not resent: if it arrived, the run may wait for its next call by now, and would take the
 *       copy for the reply to that call. If the request may run any number of times and a stopped run is discarded, the
 *       run is stopped and launched again; otherwise the controller waits as for a launch.
 * </ul>
 */
final class InDoubtCommands {

    /** Longest time for a command to reach the agent: 50 ms of network latency plus a margin. */
    private static final Duration MAX_TRANSIT = Duration.ofMillis(55);

    private final BackendDependencies dependencies;
    private final BackendSettings settings;
    private boolean connected = true;
    /** Commands sent at or after this time are in doubt; null while no command is. */
    private Duration inDoubtFrom;

    InDoubtCommands(BackendDependencies dependencies, BackendSettings settings) {
        this.dependencies = dependencies;
        this.settings = settings;
    }

    /** Sends the launch command, or holds it back until the link is restored. */
    void launch(TrackedRequest request, Duration now) {
        if (connected) {
            request.launchDelivery().markSent(now);
            dependencies.launch(request);
        } else {
            request.launchDelivery().markNotSent();
        }
    }

    /** Sends the reply to the run's call, or holds it back until the link is restored. */
    void deliverReply(TrackedRequest request, Duration now) {
        if (connected) {
            request.replyDelivery().markSent(now);
            dependencies.deliverReply(request, request.callReply());
        } else {
            request.replyDelivery().markNotSent();
        }
    }

    /** Handles a run's request for a call, which proves that all commands to the run have arrived. */
    void callNeeded(TrackedRequest request) {
        request.launchDelivery().markArrived();
        request.replyDelivery().markArrived();
    }

    /** Handles the loss of the link, given when the link was last confirmed to work. */
    void linkLost(Duration lastConfirmed) {
        connected = false;
        Duration from = lastConfirmed.minus(MAX_TRANSIT);
        if (inDoubtFrom == null || from.compareTo(inDoubtFrom) < 0) {
            inDoubtFrom = from;
        }
    }

    /** Handles a new link: marks the commands sent before it that are in doubt. Later commands use the new link. */
    void linkRestored(Collection<TrackedRequest> requests) {
        connected = true;
        for (TrackedRequest request : requests) {
            request.launchDelivery().linkReplaced(inDoubtFrom);
            request.replyDelivery().linkReplaced(inDoubtFrom);
        }
    }

    /** Handles the commands in doubt, once all agent events of the time without a link have been read. */
    void eventsCaughtUp(Collection<TrackedRequest> requests, Duration now) {
        logCommandsInDoubt(requests);
        // The commands sent below get a new sending time, so the loss of the next link can put them in doubt again.
        inDoubtFrom = null;
        for (TrackedRequest request : requests) {
            if (request.isRunning()) {
                resolve(request, now);
            }
        }
    }

    private void resolve(TrackedRequest request, Duration now) {
        boolean restartInDoubt =
                request.isRestarting() && request.launchDelivery().isInDoubt();
        boolean replyInDoubt = isReplyInDoubt(request);
        boolean canRestart = !request.isStopRequested() && settings.canRestartRuns(request.priorityClass());
        if (restartInDoubt || (replyInDoubt && canRestart)) {
            restart(request, now);
        } else if (replyInDoubt) {
            request.handle().runInDoubt(now);
        } else {
            resolveLaunch(request, now);
            sendHeldReply(request, now);
        }
        if (request.isStopRequested()) {
            dependencies.stop(request);
        }
    }

    /** Stops the run and launches it again; the agent carries out commands in their order. */
    private void restart(TrackedRequest request, Duration now) {
        request.markRestarting();
        dependencies.stop(request);
        launch(request, now);
    }

    /** Returns whether the reply to the run's last call is in doubt; a restarted run has no reply any more. */
    private static boolean isReplyInDoubt(TrackedRequest request) {
        return request.callReply() != null && request.replyDelivery().isInDoubt();
    }

    private void logCommandsInDoubt(Collection<TrackedRequest> requests) {
        List<TrackedRequest> running =
                requests.stream().filter(TrackedRequest::isRunning).toList();
        long launches = running.stream()
                .filter(request -> request.launchDelivery().isInDoubt())
                .count();
        long replies = running.stream().filter(InDoubtCommands::isReplyInDoubt).count();
        if (launches + replies > 0) {
            dependencies.log("agent-commands-in-doubt launches=" + launches + " replies=" + replies);
        }
    }

    private void resolveLaunch(TrackedRequest request, Duration now) {
        CommandDelivery delivery = request.launchDelivery();
        boolean mayRunAgain = settings.isIdempotent(request.priorityClass());
        if (delivery.isNotSent() || (delivery.isInDoubt() && mayRunAgain)) {
            launch(request, now);
        } else if (delivery.isInDoubt()) {
            request.handle().runInDoubt(now);
        }
    }

    private void sendHeldReply(TrackedRequest request, Duration now) {
        if (request.callReply() != null && request.replyDelivery().isNotSent()) {
            deliverReply(request, now);
        }
    }
}
