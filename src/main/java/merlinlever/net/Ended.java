package merlinlever.net;

import merlinlever.Ending;

/**
 * Every way in which a connection can end, and in this one place what each means: for a call that was in hand on it
 * ({@link #ofCall}), and for the caller of an operation in hand ({@link #callerGone}).
 */
public enum Ended {
    /** The other side closed in good order. */
    CLOSED_THERE(Ending.CUT_OFF, true),
    /** A reset or any other failure of reading or writing. */
    BROKEN(Ending.CUT_OFF, true),
    /** It was never made. */
    REFUSED(Ending.UNREACHABLE, true),
    /** It was not made in time. */
    NOT_MADE(Ending.UNREACHABLE, true),
    /** Closed here as nothing was open on it. */
    IDLE(Ending.CUT_OFF, true),
    /** Closed here after the last answer on it. */
    DONE(Ending.CUT_OFF, true),
    /** What was begun did not become whole, or what was written was not taken, in time. */
    SLOW(Ending.CUT_OFF, true),
    /** What came was not the protocol's. */
    MALFORMED(Ending.CUT_OFF, true),
    /** More waited to be written than is allowed. */
    OVERFULL(Ending.CUT_OFF, true),
    /** What uses it here has failed. */
    FAILED(Ending.CUT_OFF, true);

    private final Ending ofCall;
    private final boolean callerGone;

    Ended(Ending ofCall, boolean callerGone) {
        this.ofCall = ofCall;
        this.callerGone = callerGone;
    }

    /** How a call ended that had been handed to the connection. */
    public Ending ofCall() {
        return ofCall;
    }

    /** Whether nobody waits any longer for the answer that was owed on the connection. */
    public boolean callerGone() {
        return callerGone;
    }
}
