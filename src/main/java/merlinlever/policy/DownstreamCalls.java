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
 * Decides when downstream calls are made and how a run continues after its call. Calls are limited by a
 * concurrency limit that decreases with failures and, for a shared service, by a credit of call time.
 */
final class DownstreamCalls {
    private static final double CALLS_PER_CORE = 4;
    // Factor of the concurrency limit after a failed call.
    private static final double DECREASE = 0.8;
    // Share of the call limit without a configured one, and its lower bound in calculations; in calls.
    private static final double UNLIMITED_SHARE = 1e9;
    private static final double MIN_SHARE = 0.001;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

    private final ServerState server;
    private final double maxConcurrent;
    // How long a call still loads the service after its timeout.
    private final double lingerMs;
    private final double fullCallCreditMs;
    private final double maxCreditMs;
    private double concurrencyLimit;
    private double creditMs;
    private Duration decreasedAt = Duration.ZERO;

    DownstreamCalls(ServerState server, ControllerSettings settings, long seed) {
        this.server = server;
        // Safety rule 4: this server may use its share of the shared limit N. The credit that it may save is
        // its share of the random excess that the fleet is allowed, 2 x sqrt(N) + 2, or the share of one
        // averaging time if the size of the fleet is unknown. The fleet's limit is at least one call.
        DownstreamSettings downstream = settings.downstream();
        boolean shared = settings.deployment().downstream() == DownstreamKind.SHARED;
        double configuredShare = shared ? downstream.shareOfCalls() : UNLIMITED_SHARE;
        maxConcurrent = Math.min(CALLS_PER_CORE * server.cores(), configuredShare);
        double share = Math.max(maxConcurrent, MIN_SHARE);
        double fleetSize = downstream.fleetSize();
        double fleetLimit = Math.max(share * fleetSize, 1);
        lingerMs = shared ? Durations.toMillis(downstream.lingerTime()) : 0;
        fullCallCreditMs = Math.max(1, Durations.toMillis(downstream.averagingTime())) * share;
        double randomExcess = 2 * (Math.sqrt(fleetLimit) + 1) / fleetLimit;
        double maxSavedMs = fleetSize < 1 ? lingerMs + fullCallCreditMs : randomExcess * fullCallCreditMs;
        maxCreditMs = Math.max(2 * lingerMs, maxSavedMs);
        // A random initial credit desynchronizes servers that start together and receive the same requests.
        creditMs = maxCreditMs * new SplittableRandom(~seed).nextDouble();
        concurrencyLimit = maxConcurrent;
    }

    void accrueCredit(double elapsedMs) {
        creditMs = Math.min(maxCreditMs, creditMs + elapsedMs * (maxConcurrent - server.inCallCount()));
    }

    /** Whether a new run would have to wait before its downstream call. */
    boolean isSaturated() {
        int currentCalls = server.awaitingCallCount() + server.inCallCount();
        return currentCalls >= concurrencyLimit || (maxConcurrent < 1 && !hasCallCapacity());
    }

    // If the share is less than one concurrent call, the saved credit must cover the call and the time for
    // which the call loads the service after its timeout.
    private boolean hasCallCapacity() {
        double remainingMs = creditMs - lingerMs;
        if (server.inCallCount() + 1 <= concurrencyLimit) {
            return remainingMs >= 0;
        }
        double neededMs = Math.min(fullCallCreditMs, maxCreditMs - lingerMs);
        return server.inCallCount() == 0 && maxConcurrent < 1 && remainingMs >= neededMs;
    }

    void startCalls(Duration now) {
        QuotaLimiter quota = server.callQuota();
        for (Request request : server.inFlight()) {
            boolean isPending = request.phase() == Phase.AWAITING_CALL && !request.isAnswered();
            if (isPending && hasCallCapacity() && quota.permits(now)) {
                server.moveTo(request, Phase.IN_CALL);
                quota.recordStart(now);
                creditMs -= lingerMs;
                Duration creditLimit = maxConcurrent < 1 ? Durations.ofMillis(creditMs) : request.deadline();
                Duration maxDuration = Durations.earlier(request.deadline().minus(now), creditLimit);
                Duration timeout = Durations.later(MIN_TIMEOUT, quota.limitDuration(maxDuration));
                server.addDecision(new Decision.CallDownstream(request, timeout));
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
            // Calls that were concurrent count as a single failure.
            concurrencyLimit = Math.max(Math.min(1, maxConcurrent), concurrencyLimit * DECREASE);
            decreasedAt = now;
        }
        server.moveTo(request, Phase.AWAITING_CALL);
        // Safety rule 2: a call that may have taken effect is retried only for an idempotent request. Calls
        // that were rejected, failed or timed out are not retried: they have been tried elsewhere, and the
        // service may be overloaded.
        boolean isSafeToRepeat =
                outcome == Outcome.CONNECTION_LOST && request.priorityClass().isIdempotent();
        if ((isSafeToRepeat || outcome == Outcome.UNREACHABLE) && !request.wasCallRetried()) {
            request.markCallRetried();
        } else if (request.priorityClass().weightWithoutCall() > 0 && !request.isAnswered()) {
            server.moveTo(request, Phase.RUNNING);
            server.addDecision(new Decision.SkipCall(request));
        } else {
            server.completions().fail(request, now);
        }
    }
}
