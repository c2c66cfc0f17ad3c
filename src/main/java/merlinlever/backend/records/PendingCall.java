package merlinlever.backend.records;

import java.time.Duration;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.net.EventLoop;

/** One downstream call, from its start until the outcome is known or the call is cancelled. */
final class PendingCall {

    private final TrackedRequest request;
    private final byte[] body;
    private final Duration deadline;
    private EventLoop.Timer timeout;
    private RecordsConnection connection;

    /** @param deadline in uptime of the event loop */
    PendingCall(TrackedRequest request, byte[] body, Duration deadline) {
        this.request = request;
        this.body = body;
        this.deadline = deadline;
    }

    TrackedRequest request() {
        return request;
    }

    byte[] body() {
        return body;
    }

    /** Returns the latest time at which the reply is of use, in uptime of the event loop. */
    Duration deadline() {
        return deadline;
    }

    void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    void cancelTimeout() {
        timeout.cancel();
    }

    /** Returns the connection that carries the call; null while the call waits for a connection and after its end. */
    RecordsConnection connection() {
        return connection;
    }

    void setConnection(RecordsConnection newConnection) {
        connection = newConnection;
    }
}
