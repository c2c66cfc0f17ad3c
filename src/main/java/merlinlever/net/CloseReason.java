package merlinlever.net;

import merlinlever.Outcome;

/**
 * Every way in which a connection can end, and in this one place what each means for a call that was in hand on it
 * ({@link #ofCall}). For an operation in hand all mean the same: its caller is gone. For runs none means anything.
 */
public enum CloseReason {
    /** The other side closed in good order. */
    CLOSED_THERE(Outcome.CONNECTION_LOST),
    /** A reset or any other failure of reading or writing. */
    BROKEN(Outcome.CONNECTION_LOST),
    /** It was never made. */
    REFUSED(Outcome.UNREACHABLE),
    /** It was not made in time. */
    NOT_MADE(Outcome.UNREACHABLE),
    /** Closed here as nothing was open on it. */
    IDLE(Outcome.CONNECTION_LOST),
    /** Closed here after the last answer on it. */
    DONE(Outcome.CONNECTION_LOST),
    /** What was begun did not become whole, or what was written was not taken, in time. */
    SLOW(Outcome.CONNECTION_LOST),
    /** What came was not the protocol's. */
    MALFORMED(Outcome.CONNECTION_LOST),
    /** More waited to be written than is allowed. */
    OVERFULL(Outcome.CONNECTION_LOST),
    /** What uses it here has failed. */
    FAILED(Outcome.CONNECTION_LOST);

    private final Outcome ofCall;

    CloseReason(Outcome ofCall) {
        this.ofCall = ofCall;
    }

    /** How a call ended that had been handed to the connection. */
    public Outcome ofCall() {
        return ofCall;
    }
}
