package merlinlever.fleet.view;

import java.time.Duration;

/**
 * The quorum status that is shown: a worse one at once, a better one only after it lasted for some time, so that it does not
 * flap. Not thread-safe.
 */
final class QuorumStatusHysteresis {

    private final Duration improvementDelay;
    private QuorumStatus shown = QuorumStatus.RECOVERING;
    private Duration shownSince;
    /** The worst of the better statuses that followed one another without a break, or null. */
    private QuorumStatus improvement;

    private Duration improvementSince;

    QuorumStatusHysteresis(Duration now, Duration improvementDelay) {
        this.improvementDelay = improvementDelay;
        shownSince = now;
    }

    /** Takes in the present status; returns whether the one that is shown changes. */
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
