package merlinlever.backend;

import java.time.Duration;

/** Whether a command to the agent may have been lost with the link that it was sent on. */
final class CommandDelivery {

    private Duration sentAt = Duration.ZERO;
    private boolean inDoubt;

    void sent(Duration now) {
        sentAt = now;
        inDoubt = false;
    }

    /** The link was replaced: the command is in doubt if it was sent at that time or later; null if none is. */
    void linkReplaced(Duration inDoubtFrom) {
        inDoubt = inDoubtFrom != null && sentAt.compareTo(inDoubtFrom) >= 0;
    }

    boolean isInDoubt() {
        return inDoubt;
    }
}
