package merlinlever.routes;

import java.time.Duration;

/** Calls that may be begun in any stretch of so long: one backend's part of what a partner takes of the whole site. */
final class RateWindow {

    /** Remembered begins at the most, and so the most calls of one route and backend in a stretch. */
    static final int MAX_CALLS = 4096;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final long[] startNanos;
    private final long windowNanos;
    private int next, count;

    /** @param callsPerSecond a second that the site may make, backends that divide them evenly; less than one each is one in some seconds */
    RateWindow(int callsPerSecond, int backends) {
        int callsOfEach = Math.min(MAX_CALLS, callsPerSecond / backends);
        startNanos = new long[Math.max(1, callsOfEach)];
        windowNanos = callsOfEach > 0 ? SECOND_NANOS : (SECOND_NANOS * backends + callsPerSecond - 1) / callsPerSecond;
    }

    boolean hasCapacity(Duration now) {
        return count < startNanos.length || now.toNanos() - startNanos[next] >= windowNanos;
    }

    void recordStart(Duration now) {
        startNanos[next] = now.toNanos();
        next = (next + 1) % startNanos.length;
        count = Math.min(startNanos.length, count + 1);
    }

    /** Whether all that it remembers is past. */
    boolean isIdle(Duration now) {
        return count == 0 || now.toNanos() - startNanos[(next + startNanos.length - 1) % startNanos.length] >= windowNanos;
    }

    /** Calls a second at the most of one of so many backends, in thousandths. */
    static long callsPerThousandSeconds(int callsPerSecond, int backends) {
        return callsPerSecond / backends > 0 ? 1000L * Math.min(MAX_CALLS, callsPerSecond / backends) : 1000L * callsPerSecond / backends;
    }
}
