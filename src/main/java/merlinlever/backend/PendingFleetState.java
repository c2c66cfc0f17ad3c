package merlinlever.backend;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;
import merlinlever.policy.OverloadController;

/**
 * State that recovery and the quota protocol set on the controller. Values set before the controller exists are applied
 * when it is attached, except quotas, which begin at zero.
 */
final class PendingFleetState {

    private OverloadController controller;
    /** Null unless the backend has recovered from a crash or has moved to another host. */
    private Duration nonIdempotentFrom;

    private Duration nonIdempotentUntil;
    private double estimatedCapacity;
    private double estimateCompletions;
    /** Whether a quota is a rate per second, by priority class; -1 for the quota on downstream calls. */
    private final Map<Integer, Boolean> perSecondByClass = new TreeMap<>();

    /** Sets the controller and applies the values received so far to it. */
    void attach(OverloadController newController, Duration now) {
        controller = newController;
        controller.setWarmStartEstimate(estimatedCapacity, estimateCompletions);
        // Shared limits permit nothing on this backend until its quota arrives.
        perSecondByClass.forEach((priorityClass, perSecond) ->
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
        perSecondByClass.put(priorityClass, grant.perSecond());
        if (controller != null) {
            controller.setQuota(priorityClass, grant);
        }
    }

    /** See {@link OverloadController#quotaDemand}; there is no demand before the controller exists. */
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
