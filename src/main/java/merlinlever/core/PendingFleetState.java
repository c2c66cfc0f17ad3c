package merlinlever.core;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
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
        controller.guess(estimatedCapacity, estimateCompletions);
        // Until its quota arrives, this backend uses nothing of what it shares with others.
        perSecondByLimit.forEach(
                (priorityClass, perSecond) -> controller.share(priorityClass, 0, perSecond, now, null));
        if (nonIdempotentFrom != null) {
            controller.keyed(nonIdempotentFrom, nonIdempotentUntil);
        }
    }

    /** See {@link OverloadController#keyed}. */
    void permitNonIdempotentStarts(Duration from, Duration until) {
        nonIdempotentFrom = from;
        nonIdempotentUntil = until;
        if (controller != null) {
            controller.keyed(from, until);
        }
    }

    /** See {@link OverloadController#share}. */
    void setQuota(int priorityClass, long quota, boolean perSecond, Duration leaseEnd, Duration maxCallDuration) {
        perSecondByLimit.put(priorityClass, perSecond);
        if (controller != null) {
            controller.share(priorityClass, quota, perSecond, leaseEnd, maxCallDuration);
        }
    }

    /** See {@link OverloadController#demand}; nothing before the controller exists. */
    long[] quotaDemand(Duration now, int priorityClass) {
        return controller == null ? new long[2] : controller.demand(now, priorityClass);
    }

    /** See {@link OverloadController#guess}. */
    void setWarmStartEstimate(double capacity, double completions) {
        estimatedCapacity = capacity;
        estimateCompletions = completions;
        if (controller != null) {
            controller.guess(capacity, completions);
        }
    }
}
