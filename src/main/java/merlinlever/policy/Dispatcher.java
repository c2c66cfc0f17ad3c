package merlinlever.policy;

import java.time.Duration;
import merlinlever.controller.Decision;
import merlinlever.policy.Request.Phase;

/** Decides which queued requests are started: oldest first, while the run queue is shorter than the cores. */
final class Dispatcher {
    private final ServerState server;

    Dispatcher(ServerState server) {
        this.server = server;
    }

    void startQueued(Duration now) {
        double maxStarted = server.capacity().safeConcurrency();
        for (Request request : server.inFlight()) {
            if (!isStartable(request, now)) {
                continue;
            }
            double additionalKb = request.memoryKb() * (server.runMemoryFactor() - 1);
            if ((server.onCoreCount() >= 1 && server.runQueue().estimate() >= server.cores())
                    || server.startedCount() >= maxStarted
                    || !server.capacity().hasMemoryFor(additionalKb)
                    || server.stallDetector().isStalled()) {
                return;
            }
            QuotaLimiter quota = server.runQuota(request.priorityClass());
            boolean callsBlocked = request.priorityClass().makesCalls()
                    && server.downstreamCalls().isSaturated();
            if (!callsBlocked && quota.permits(now)) {
                quota.recordStart(now);
                start(request, now);
            }
        }
    }

    private boolean isStartable(Request request, Duration now) {
        return request.phase() == Phase.QUEUED
                && !request.isAnswered()
                && (!request.wasStarted() || request.priorityClass().isIdempotent())
                && !server.idempotencyWindow().forbidsStart(request, now);
    }

    private void start(Request request, Duration now) {
        if (server.onCoreCount() == 0) {
            server.stallDetector().recordProgress(now);
        }
        request.markStarted(now);
        server.moveTo(request, Phase.RUNNING);
        server.addDecision(new Decision.Start(request));
        server.duplicates().resolveWaitingDuplicates(request, now);
    }
}
