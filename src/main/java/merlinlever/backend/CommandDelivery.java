package merlinlever.backend;

import java.time.Duration;

/** Tracks whether a command to the agent has arrived. */
final class CommandDelivery {

    private enum State {
        /** Issued while there was no link, and therefore never sent. */
        NOT_SENT,
        /** Sent, and not known to be affected by the loss of a link. */
        SENT,
        /** Sent shortly before the link was lost: the command may have arrived or not. */
        IN_DOUBT,
        /** An event of the run proves that the command arrived. */
        ARRIVED
    }

    private State state = State.NOT_SENT;
    private Duration sentAt = Duration.ZERO;

    void markSent(Duration now) {
        state = State.SENT;
        sentAt = now;
    }

    void markNotSent() {
        state = State.NOT_SENT;
    }

    void markArrived() {
        state = State.ARRIVED;
    }

    /**
     * Handles a new link: marks the command as in doubt if it was sent at or after the given time and is not known to
     * have arrived.
     *
     * @param inDoubtFrom null if all commands arrived
     */
    void linkReplaced(Duration inDoubtFrom) {
        if (state == State.SENT && inDoubtFrom != null && sentAt.compareTo(inDoubtFrom) >= 0) {
            state = State.IN_DOUBT;
        }
    }

    /** Returns whether the command certainly did not arrive. */
    boolean isNotSent() {
        return state == State.NOT_SENT;
    }

    boolean isInDoubt() {
        return state == State.IN_DOUBT;
    }
}
