package merlinlever.view;

import java.time.Duration;

/** The standing that is shown: a worse one at once, a better one once it was found for so long, so that it does not flap. */
final class QuorumStatusHysteresis {

    private final Duration hold;
    private QuorumStatus shown = QuorumStatus.RETURNING;
    private Duration since;
    private QuorumStatus better;
    private Duration betterSince;

    QuorumStatusHysteresis(Duration now, Duration hold) {
        this.hold = hold;
        since = now;
    }

    /** Takes what was found now; true where what is shown changes. */
    boolean found(Duration now, QuorumStatus found) {
        if (found.compareTo(shown) >= 0) {
            better = null;
            return show(now, found);
        }
        // Of several that are better in turn the least one counts.
        if (better == null) {
            betterSince = now;
            better = found;
        } else if (found.compareTo(better) > 0) {
            better = found;
        }
        if (now.minus(betterSince).compareTo(hold) < 0) {
            return false;
        }
        QuorumStatus to = better;
        better = null;
        return show(now, to);
    }

    private boolean show(Duration now, QuorumStatus to) {
        if (to == shown) {
            return false;
        }
        shown = to;
        since = now;
        return true;
    }

    QuorumStatus shown() {
        return shown;
    }

    Duration since() {
        return since;
    }
}
