package merlinlever.net;

import merlinlever.Outcome;

/**
 * Why a connection was closed, and what that means for a downstream call that was in flight on it. For a request in
 * flight on it all mean the same: its caller is gone.
 */
public enum CloseReason {
    /** The peer closed it in good order. */
    CLOSED_BY_PEER(Outcome.CONNECTION_LOST),
    /** A reset, or another failure of reading or writing. */
    IO_FAILURE(Outcome.CONNECTION_LOST),
    /** It could not be established. */
    CONNECT_FAILED(Outcome.UNREACHABLE),
    /** It was not established in time. */
    CONNECT_TIMEOUT(Outcome.UNREACHABLE),
    /** Closed here: nothing was in flight on it. */
    IDLE(Outcome.CONNECTION_LOST),
    /** Closed here after the last message on it. */
    COMPLETED(Outcome.CONNECTION_LOST),
    /** Closed here: a message was not complete, or not read by the peer, in time. */
    TIMED_OUT(Outcome.CONNECTION_LOST),
    /** Closed here: the peer broke the protocol. */
    PROTOCOL_ERROR(Outcome.CONNECTION_LOST),
    /** Closed here: more was queued for writing than is allowed. */
    WRITE_QUEUE_FULL(Outcome.CONNECTION_LOST),
    /** Closed here: its handler threw. */
    HANDLER_FAILED(Outcome.CONNECTION_LOST);

    private final Outcome callOutcome;

    CloseReason(Outcome callOutcome) {
        this.callOutcome = callOutcome;
    }

    /** The outcome of a call that was in flight on the connection. */
    public Outcome callOutcome() {
        return callOutcome;
    }
}
