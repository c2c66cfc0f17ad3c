package merlinlever.common.net;

/** Why a connection was closed, and whether it had been established before. */
public enum CloseReason {
    /** The peer closed it in good order. */
    CLOSED_BY_PEER(true),
    /** A reset, or another failure of reading or writing. */
    IO_FAILURE(true),
    /** It could not be established. */
    CONNECT_FAILED(false),
    /** It was not established in time. */
    CONNECT_TIMEOUT(false),
    /** Closed here: nothing was in flight on it. */
    IDLE(true),
    /** Closed here after the last message on it. */
    COMPLETED(true),
    /** Closed here: a message was not complete, or not read by the peer, in time. */
    TIMED_OUT(true),
    /** Closed here: the peer broke the protocol. */
    PROTOCOL_ERROR(true),
    /** Closed here: more was queued for writing than is allowed. */
    WRITE_QUEUE_FULL(true),
    /** Closed here: its handler threw. */
    HANDLER_FAILED(true);

    private final boolean established;

    CloseReason(boolean established) {
        this.established = established;
    }

    /** Whether the connection had been established, so that the peer may have received what was sent on it. */
    public boolean wasEstablished() {
        return established;
    }
}
