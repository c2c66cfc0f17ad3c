package merlinlever.backend;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;
import merlinlever.policy.OverloadController;

/**
 * What recovery and the quota protocol set on the controller. It can be set before the controller exists: it is held
 * until then, but for quotas, which begin at zero.
 */
final class PendingFleetState {

    private OverloadController controller;
    /** Null unless the backend has recovered from a crash or moved. */
    private Duration nonIdempotentFrom;

    private Duration nonIdempotentUntil;
    private double estimatedCapacity;
    private double estimateCompletions;
    /** By priority class, -1 for downstream calls, whether the limit of the fleet is one per second. */
    private final Map<Integer, Boolean> perSecondByLimit = new TreeMap<>();

    /** The controller exists: sets on it what was held. */
    void attach(OverloadController newController, Duration now) {
        controller = newController;
        controller.setWarmStartEstimate(estimatedCapacity, estimateCompletions);
        // Until its quota arrives, this backend uses nothing of what it shares with others.
        perSecondByLimit.forEach((priorityClass, perSecond) ->
                controller.setQuota(priorityClass, new QuotaGrant(0, perSecond, now, Optional.empty())));
        if (nonIdempotentFrom != null) {
            controller.permitNonIdempotentStarts(nonIdempotentFrom, nonIdempotentUntil);
        }
    }

    /** See {@link OverloadController#permitNonIdempotentStarts}. */
    void permitNonIdempotentStarts(Duration from, Duration until) {
        nonIdempotentFrom = from;
        nonIdempotentUntil = until;
        if (controller != null) {
            controller.permitNonIdempotentStarts(from, until);
        }
    }

    /** See {@link OverloadController#setQuota}. */
    void setQuota(int priorityClass, QuotaGrant grant) {
        perSecondByLimit.put(priorityClass, grant.perSecond());
        if (controller != null) {
            controller.setQuota(priorityClass, grant);
        }
    }

    /** See {@link OverloadController#quotaDemand}; nothing before the controller exists. */
    QuotaDemand quotaDemand(Duration now, int priorityClass) {
        return controller == null ? QuotaDemand.NONE : controller.quotaDemand(now, priorityClass);
    }

    /** See {@link OverloadController#setWarmStartEstimate}. */
    void setWarmStartEstimate(double capacity, double completions) {
        estimatedCapacity = capacity;
        estimateCompletions = completions;
        if (controller != null) {
            controller.setWarmStartEstimate(capacity, completions);
        }
    }
}
