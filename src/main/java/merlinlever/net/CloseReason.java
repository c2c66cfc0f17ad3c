package merlinlever.net;

import merlinlever.Outcome;

/**
 * Every way in which a connection can end, and in this one place what each means for a call that was in hand on it
 * ({@link #callOutcome}). For an operation in hand all mean the same: its caller is gone. For runs none means anything.
 */
public enum CloseReason {
    /** The other side closed in good order. */
    CLOSED_BY_PEER(Outcome.CONNECTION_LOST),
    /** A reset or any other failure of reading or writing. */
    IO_FAILURE(Outcome.CONNECTION_LOST),
    /** It was never made. */
    CONNECT_FAILED(Outcome.UNREACHABLE),
    /** It was not made in time. */
    CONNECT_TIMEOUT(Outcome.UNREACHABLE),
    /** Closed here as nothing was open on it. */
    IDLE(Outcome.CONNECTION_LOST),
    /** Closed here after the last answer on it. */
    COMPLETED(Outcome.CONNECTION_LOST),
    /** What was begun did not become whole, or what was written was not taken, in time. */
    TIMED_OUT(Outcome.CONNECTION_LOST),
    /** What came was not the protocol's. */
    PROTOCOL_ERROR(Outcome.CONNECTION_LOST),
    /** More waited to be written than is allowed. */
    WRITE_QUEUE_FULL(Outcome.CONNECTION_LOST),
    /** What uses it here has failed. */
    HANDLER_FAILED(Outcome.CONNECTION_LOST);

    private final Outcome callOutcome;

    CloseReason(Outcome callOutcome) {
        this.callOutcome = callOutcome;
    }

    /** How a call ended that had been handed to the connection. */
    public Outcome callOutcome() {
        return callOutcome;
    }
}
