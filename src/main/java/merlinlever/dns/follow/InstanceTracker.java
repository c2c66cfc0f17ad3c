package merlinlever.dns.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Which instances count as alive. One is gone when it says closed or has been silent for the lapse; one that comes and
 * goes stays away for longer each time, as a route that flaps does (RFC 2439 section 4.4).
 */
final class InstanceTracker {

    /** A departure counts one; above the first figure an instance stays away until below the second. */
    private static final double SUPPRESS = 2.5;

    private static final double REUSE = 1;

    private static final class TrackedInstance {
        Duration lastReport;
        boolean isOpen, wasAlive, isSuppressed;
        double penalty;
        Duration penaltyAt = Duration.ZERO;
    }

    private final List<TrackedInstance> instances = new ArrayList<>();
    private final Duration lapse;
    private final Duration damp;

    /** @param damp the time in which what is held against an instance halves */
    InstanceTracker(int count, Duration lapse, Duration damp) {
        this.lapse = lapse;
        this.damp = damp;
        for (int i = 0; i < count; i++) {
            instances.add(new TrackedInstance());
        }
    }

    int size() {
        return instances.size();
    }

    void reported(Duration now, int index, boolean open) {
        TrackedInstance instance = instances.get(index);
        update(now, instance);
        instance.lastReport = now;
        instance.isOpen = open;
        update(now, instance);
    }

    private boolean alive(Duration now, TrackedInstance instance) {
        return instance.isOpen
                && instance.lastReport != null
                && now.minus(instance.lastReport).compareTo(lapse) < 0;
    }

    private void update(Duration now, TrackedInstance instance) {
        boolean alive = alive(now, instance);
        if (instance.penalty > 0) {
            instance.penalty *= Math.pow(0.5, now.minus(instance.penaltyAt).toNanos() / (double) damp.toNanos());
        }
        instance.penaltyAt = now;
        if (instance.wasAlive && !alive) {
            instance.penalty += 1;
        }
        instance.wasAlive = alive;
        instance.isSuppressed = instance.isSuppressed ? instance.penalty > REUSE : instance.penalty >= SUPPRESS;
    }

    /** Brings all up to now; call before asking. */
    void update(Duration now) {
        instances.forEach(instance -> update(now, instance));
    }

    /** As of the last look: alive, and not kept away for its flapping unless that is asked for. */
    List<Integer> alive(boolean suppressedToo) {
        List<Integer> alive = new ArrayList<>();
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).wasAlive && (suppressedToo || !instances.get(i).isSuppressed)) {
                alive.add(i);
            }
        }
        return alive;
    }

    /** When the next instance lapses if nothing more is heard, or null. */
    Duration nextLapse() {
        Duration next = null;
        for (TrackedInstance instance : instances) {
            if (instance.wasAlive) {
                Duration at = instance.lastReport.plus(lapse);
                next = next == null || at.compareTo(next) < 0 ? at : next;
            }
        }
        return next;
    }
}
