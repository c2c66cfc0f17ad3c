package merlinlever.net;

import merlinlever.Ending;

/**
 * Every way in which a connection can end, and in this one place what each means for a call that was in hand on it
 * ({@link #ofCall}). For an operation in hand all mean the same: its caller is gone. For runs none means anything.
 */
public enum CloseReason {
    /** The other side closed in good order. */
    CLOSED_THERE(Ending.CUT_OFF),
    /** A reset or any other failure of reading or writing. */
    BROKEN(Ending.CUT_OFF),
    /** It was never made. */
    REFUSED(Ending.UNREACHABLE),
    /** It was not made in time. */
    NOT_MADE(Ending.UNREACHABLE),
    /** Closed here as nothing was open on it. */
    IDLE(Ending.CUT_OFF),
    /** Closed here after the last answer on it. */
    DONE(Ending.CUT_OFF),
    /** What was begun did not become whole, or what was written was not taken, in time. */
    SLOW(Ending.CUT_OFF),
    /** What came was not the protocol's. */
    MALFORMED(Ending.CUT_OFF),
    /** More waited to be written than is allowed. */
    OVERFULL(Ending.CUT_OFF),
    /** What uses it here has failed. */
    FAILED(Ending.CUT_OFF);

    private final Ending ofCall;

    CloseReason(Ending ofCall) {
        this.ofCall = ofCall;
    }

    /** How a call ended that had been handed to the connection. */
    public Ending ofCall() {
        return ofCall;
    }
}
