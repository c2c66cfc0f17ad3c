package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import merlinlever.controller.Decision;
import merlinlever.controller.settings.ServerSettings;

/**
 * The requests that are retained for duplicates, with the memory that this takes, and until when a handle may
 * still be named. {@link DuplicateRequests} decides what is retained and for how long; this decides nothing.
 */
final class RetentionTable {
    /** That something known of a request ends at that time, unless it was renewed or ended since. */
    private record Expiry(Request request, Duration time) {}

    private final ServerState server;
    /** The memory that a retained request takes. */
    final double entryKb;

    private final PriorityQueue<Expiry> retained = new PriorityQueue<>(Comparator.comparing(Expiry::time));
    private final PriorityQueue<Expiry> handles = new PriorityQueue<>(Comparator.comparing(Expiry::time));

    RetentionTable(ServerState server, ServerSettings settings) {
        this.server = server;
        entryKb = settings.memoryPerKeyKb();
    }

    /** Retains the request for that long from now on, also if it is retained already. */
    void retain(Request request, Duration now, Duration retention) {
        if (request.retainedUntil == null) {
            server.reserve(entryKb);
        }
        request.retainedUntil = now.plus(retention);
        retained.add(new Expiry(request, request.retainedUntil));
        server.decided(new Decision.Retain(request, retention));
    }

    /** Ends the retention of the request; returns whether it was retained. */
    boolean remove(Request request) {
        boolean wasRetained = request.retainedUntil != null;
        if (wasRetained) {
            server.reserve(-entryKb);
        }
        request.retainedUntil = null;
        return wasRetained;
    }

    /** Nothing will name the handle of the request from that time on. */
    void releaseAt(Request request, Duration time) {
        handles.add(new Expiry(request, time));
    }

    /** Ends what has expired. */
    void expire(Duration now) {
        while (!retained.isEmpty() && isReached(now, retained.peek().time)) {
            Expiry expiry = retained.poll();
            if (expiry.time.equals(expiry.request.retainedUntil)) {
                remove(expiry.request);
            }
        }
        while (!handles.isEmpty() && isReached(now, handles.peek().time)) {
            server.decided(new Decision.Release(handles.poll().request));
        }
    }
}
