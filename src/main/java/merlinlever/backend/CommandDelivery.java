package merlinlever.backend;

import java.time.Duration;

/** Tracks whether a command to the agent is in doubt, as it may have been lost with the link that carried it. */
final class CommandDelivery {

    private Duration sentAt = Duration.ZERO;
    private boolean inDoubt;

    void markSent(Duration now) {
        sentAt = now;
        inDoubt = false;
    }

    /**
     * Handles a new link: marks the command as in doubt if it was sent at or after the given time.
     *
     * @param inDoubtFrom null if all commands arrived
     */
    void linkReplaced(Duration inDoubtFrom) {
        inDoubt = inDoubtFrom != null && sentAt.compareTo(inDoubtFrom) >= 0;
    }

    boolean isInDoubt() {
        return inDoubt;
    }
}
