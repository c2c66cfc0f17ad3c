package merlinlever.backend.records;

import java.time.Duration;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.net.EventLoop;

/** One downstream call, from its request until its outcome is known or nobody waits for it. */
final class PendingCall {

    private final TrackedRequest request;
    private final byte[] body;
    private final Duration deadline;
    private EventLoop.Timer timeout;
    private RecordsConnection connection;

    /** @param deadline on the loop's uptime */
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

    /** When nobody waits for the reply any longer, on the loop's uptime. */
    Duration deadline() {
        return deadline;
    }

    void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    void cancelTimeout() {
        timeout.cancel();
    }

    /** The connection that it is sent on; null while it waits for one, and once it is over. */
    RecordsConnection connection() {
        return connection;
    }

    void setConnection(RecordsConnection newConnection) {
        connection = newConnection;
    }
}
