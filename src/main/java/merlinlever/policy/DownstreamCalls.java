package merlinlever.policy;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import merlinlever.controller.Decision;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.DownstreamSettings;
import merlinlever.policy.Request.Phase;

/**
 * Decides when downstream calls are made, by a concurrency limit that falls with failures and, where the
 * service is shared, by a credit of call time; and what becomes of a run whose call ended.
 */
final class DownstreamCalls {
    private static final double CALLS_PER_CORE = 4;
    // Factor of the concurrency limit after a failed call.
    private static final double DECREASE = 0.8;
    // Share of the limit where none is configured, and the least one that is calculated with; in calls.
    private static final double UNLIMITED_SHARE = 1e9;
    private static final double MIN_SHARE = 0.001;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

    private final ServerState server;
    private final double maxConcurrent;
    // How long a call that was given up still loads the service.
    private final double lingerMs;
    private final double minCreditMs;
    private final double maxCreditMs;
    private double concurrencyLimit;
    private double creditMs;
    private Duration decreasedAt = Duration.ZERO;

    DownstreamCalls(ServerState server, ControllerSettings settings, long seed) {
        this.server = server;
        // Rule 4: this server's share of the shared limit, and as saved credit its share of the random excess
        // that the fleet is allowed, 2 x sqrt(N) + 2; with a fleet of unknown size, the share of one period.
        // All survive one call between them.
        DownstreamSettings downstream = settings.downstream();
        boolean shared = settings.deployment().downstream() == DownstreamKind.SHARED;
        double configuredShare = shared ? downstream.shareOfCalls() : UNLIMITED_SHARE;
        maxConcurrent = Math.min(CALLS_PER_CORE * server.cores, configuredShare);
        double share = Math.max(maxConcurrent, MIN_SHARE);
        double fleetSize = downstream.fleetSize();
        double fleetLimit = Math.max(share * fleetSize, 1);
        lingerMs = shared ? Durations.toMillis(downstream.lingerTime()) : 0;
        minCreditMs = Math.max(1, Durations.toMillis(downstream.averagingTime())) * share;
        double randomExcess = 2 * (Math.sqrt(fleetLimit) + 1) / fleetLimit;
        double savedMs = fleetSize < 1 ? lingerMs + minCreditMs : randomExcess * minCreditMs;
        maxCreditMs = Math.max(2 * lingerMs, savedMs);
        // Servers that start together and receive the same requests do not call together.
        creditMs = maxCreditMs * new SplittableRandom(~seed).nextDouble();
        concurrencyLimit = maxConcurrent;
    }

    void accrueCredit(double elapsedMs) {
        creditMs = Math.min(maxCreditMs, creditMs + elapsedMs * (maxConcurrent - server.inCallCount()));
    }

    /** Whether a run that makes calls would have to wait for one. */
    boolean isSaturated() {
        int calls = server.awaitingCallCount() + server.inCallCount();
        return calls >= concurrencyLimit || (maxConcurrent < 1 && !canCall());
    }

    // Below a limit of one call at a time, a call has to fit into the saved credit, with its lingering.
    private boolean canCall() {
        double remainingMs = creditMs - lingerMs;
        if (server.inCallCount() + 1 <= concurrencyLimit) {
            return remainingMs >= 0;
        }
        double neededMs = Math.min(minCreditMs, maxCreditMs - lingerMs);
        return server.inCallCount() == 0 && maxConcurrent < 1 && remainingMs >= neededMs;
    }

    void startCalls(Duration now) {
        QuotaLimiter quota = server.callQuota();
        for (Request request : server.inFlight) {
            boolean waits = request.phase == Phase.AWAITING_CALL && !request.answered;
            if (waits && canCall() && quota.permits(now)) {
                server.moveTo(request, Phase.IN_CALL);
                quota.recordStart(now);
                creditMs -= lingerMs;
                Duration affordable = maxConcurrent < 1 ? Durations.ofMillis(creditMs) : request.deadline;
                Duration limit = Durations.earlier(request.deadline.minus(now), affordable);
                Duration timeout = Durations.later(MIN_TIMEOUT, quota.limitDuration(limit));
                server.decided(new Decision.CallDownstream(request, timeout));
            }
        }
    }

    void callEnded(Request request, Duration now, Outcome outcome, Duration elapsed) {
        creditMs += outcome == Outcome.OK || outcome.provesNoEffect() ? lingerMs : 0;
        if (outcome == Outcome.OK) {
            concurrencyLimit = Math.min(maxConcurrent, concurrencyLimit + 1 / concurrencyLimit);
            server.moveTo(request, Phase.RUNNING);
            return;
        }
        if (Durations.isReached(now.minus(elapsed), decreasedAt)) {
            // Calls that were in progress together and fail together are one sign, not one each.
            concurrencyLimit = Math.max(Math.min(1, maxConcurrent), concurrencyLimit * DECREASE);
            decreasedAt = now;
        }
        server.moveTo(request, Phase.AWAITING_CALL);
        // Rule 2: a call that may have had its effect is only repeated for an idempotent request. Nor is one
        // that was rejected or failed: it has been tried elsewhere, and the service is overloaded.
        boolean lost = outcome == Outcome.CONNECTION_LOST && request.priorityClass.idempotent;
        if ((lost || outcome == Outcome.UNREACHABLE) && !request.callRetried) {
            request.callRetried = true;
        } else if (request.priorityClass.weightWithoutCall > 0 && !request.answered) {
            server.moveTo(request, Phase.RUNNING);
            server.decided(new Decision.SkipCall(request));
        } else {
            server.completions.fail(request, now);
        }
    }
}
