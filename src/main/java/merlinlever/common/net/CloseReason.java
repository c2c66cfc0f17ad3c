package merlinlever.common.net;

/** The reason why a connection was closed. */
public enum CloseReason {
    /** The peer closed the connection in order. */
    CLOSED_BY_PEER(true),
    /** A read or write failed, for example after a reset by the peer. */
    IO_FAILURE(true),
    /** The connection could not be established. */
    CONNECT_FAILED(false),
    /** The connection was not established before the connect timeout. */
    CONNECT_TIMEOUT(false),
    /** Closed locally while no message was in flight. */
    IDLE(true),
    /** Closed locally after the last message. */
    COMPLETED(true),
    /** Closed locally because the peer did not complete or did not read a message in time. */
    TIMED_OUT(true),
    /** Closed locally because the peer violated the protocol. */
    PROTOCOL_ERROR(true),
    /** Closed locally because the write queue exceeded its limit. */
    WRITE_QUEUE_FULL(true),
    /** Closed locally because the handler threw an exception. */
    HANDLER_FAILED(true);

    private final boolean established;

    CloseReason(boolean established) {
        this.established = established;
    }

    /** Returns whether the connection had been established, in which case the peer may have received data. */
    public boolean wasEstablished() {
        return established;
    }
}
