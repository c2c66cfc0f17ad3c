package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import merlinlever.controller.Decision;
import merlinlever.controller.settings.ServerSettings;

/**
 * The requests that are retained for duplicates with their memory, and the times at which handles are
 * released. {@link DuplicateRequests} decides which requests are retained and for how long.
 */
final class RetentionTable {
    /** Expiry of a retention or of a handle. The expiry is void if the retention was renewed or removed. */
    private record Expiry(Request request, Duration time) {}

    private final ServerState server;
    private final double entryKb;

    private final PriorityQueue<Expiry> retentions = new PriorityQueue<>(Comparator.comparing(Expiry::time));
    private final PriorityQueue<Expiry> handles = new PriorityQueue<>(Comparator.comparing(Expiry::time));

    RetentionTable(ServerState server, ServerSettings settings) {
        this.server = server;
        entryKb = settings.memoryPerKeyKb();
    }

    /** Returns the memory of one retained request. */
    double entryKb() {
        return entryKb;
    }

    /** Retains the request for the given time from now; renews the retention of a retained request. */
    void retain(Request request, Duration now, Duration retention) {
        if (request.retainedUntil() == null) {
            server.reserve(entryKb);
        }
        request.setRetainedUntil(now.plus(retention));
        retentions.add(new Expiry(request, request.retainedUntil()));
        server.addDecision(new Decision.Retain(request, retention));
    }

    /** Ends the retention of the request; returns whether the request was retained. */
    boolean remove(Request request) {
        boolean wasRetained = request.retainedUntil() != null;
        if (wasRetained) {
            server.reserve(-entryKb);
        }
        request.setRetainedUntil(null);
        return wasRetained;
    }

    /** Schedules the release of the request's handle at the given time. */
    void releaseAt(Request request, Duration time) {
        handles.add(new Expiry(request, time));
    }

    /** Removes expired retentions and releases expired handles. */
    void expire(Duration now) {
        while (!retentions.isEmpty() && isReached(now, retentions.peek().time)) {
            Expiry expiry = retentions.poll();
            if (expiry.time.equals(expiry.request.retainedUntil())) {
                remove(expiry.request);
            }
        }
        while (!handles.isEmpty() && isReached(now, handles.peek().time)) {
            server.addDecision(new Decision.Release(handles.poll().request));
        }
    }
}
