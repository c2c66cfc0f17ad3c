package merlinlever.view;

import java.time.Duration;

/** The standing that is shown: a worse one at once, a better one once it was found for so long, so that it does not flap. */
final class QuorumStatusHysteresis {

    private final Duration improvementDelay;
    private QuorumStatus shown = QuorumStatus.RECOVERING;
    private Duration shownSince;
    private QuorumStatus improvement;
    private Duration improvementSince;

    QuorumStatusHysteresis(Duration now, Duration improvementDelay) {
        this.improvementDelay = improvementDelay;
        shownSince = now;
    }

    /** Takes what was found now; true where what is shown changes. */
    boolean update(Duration now, QuorumStatus current) {
        if (current.compareTo(shown) >= 0) {
            improvement = null;
            return show(now, current);
        }
        // Of several that are better in turn the least one counts.
        if (improvement == null) {
            improvementSince = now;
            improvement = current;
        } else if (current.compareTo(improvement) > 0) {
            improvement = current;
        }
        if (now.minus(improvementSince).compareTo(improvementDelay) < 0) {
            return false;
        }
        QuorumStatus to = improvement;
        improvement = null;
        return show(now, to);
    }

    private boolean show(Duration now, QuorumStatus to) {
        if (to == shown) {
            return false;
        }
        shown = to;
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
