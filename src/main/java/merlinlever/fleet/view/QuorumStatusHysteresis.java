package merlinlever.fleet.view;

import java.time.Duration;

/**
 * Delays improvements of the quorum status to prevent flapping. A worse status is shown at once, a better one only
 * after the improvement has lasted for the configured delay. Not thread-safe.
 */
final class QuorumStatusHysteresis {

    private final Duration improvementDelay;
    private QuorumStatus shown = QuorumStatus.RECOVERING;
    private Duration shownSince;
    /** The worst status since the start of an uninterrupted improvement, or null if there is no improvement. */
    private QuorumStatus improvement;

    private Duration improvementSince;

    QuorumStatusHysteresis(Duration now, Duration improvementDelay) {
        this.improvementDelay = improvementDelay;
        shownSince = now;
    }

    /** Records the current status and returns whether the shown status has changed. */
    boolean update(Duration now, QuorumStatus current) {
        if (current.compareTo(shown) >= 0) {
            improvement = null;
            return show(now, current);
        }
        if (improvement == null) {
            improvementSince = now;
            improvement = current;
        } else if (current.compareTo(improvement) > 0) {
            improvement = current;
        }
        if (now.minus(improvementSince).compareTo(improvementDelay) < 0) {
            return false;
        }
        QuorumStatus improved = improvement;
        improvement = null;
        return show(now, improved);
    }

    private boolean show(Duration now, QuorumStatus status) {
        if (status == shown) {
            return false;
        }
        shown = status;
        shownSince = now;
        return true;
    }

    QuorumStatus shown() {
        return shown;
    }

    Duration shownSince() {
        return shownSince;
    }
}
