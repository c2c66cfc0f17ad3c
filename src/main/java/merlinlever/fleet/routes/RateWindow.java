package merlinlever.fleet.routes;

import java.time.Duration;

/**
 * Limits the calls that one backend may start in any window of a second: its part of what a route takes of the whole site. Times
 * are since the process began. Not thread-safe.
 */
final class RateWindow {

    /** Upper bound of the remembered starts, and so of the calls of one route and backend in a window. */
    static final int MAX_CALLS = 4096;

    private static final long SECOND_NANOS = 1_000_000_000L;

    /** A ring of the latest starts. */
    private final long[] startNanos;

    private final long windowNanos;
    private int next;
    private int count;

    /**
     * The part of one backend.
     *
     * @param callsPerSecond of the whole site
     * @param backends that divide them evenly; less than one call each is one call in several seconds
     */
    RateWindow(int callsPerSecond, int backends) {
        int callsOfEach = Math.min(MAX_CALLS, callsPerSecond / backends);
        startNanos = new long[Math.max(1, callsOfEach)];
        windowNanos = callsOfEach > 0 ? SECOND_NANOS : (SECOND_NANOS * backends + callsPerSecond - 1) / callsPerSecond;
    }

    /** Whether a call may start now. */
    boolean hasCapacity(Duration now) {
        return count < startNanos.length || now.toNanos() - startNanos[next] >= windowNanos;
    }

    /** A call starts now. */
    void recordStart(Duration now) {
        startNanos[next] = now.toNanos();
        next = (next + 1) % startNanos.length;
        count = Math.min(startNanos.length, count + 1);
    }

    /** Whether all remembered starts are out of the window. */
    boolean isIdle(Duration now) {
        int latest = (next + startNanos.length - 1) % startNanos.length;
        return count == 0 || now.toNanos() - startNanos[latest] >= windowNanos;
    }

    /** Upper bound of the calls of one backend, per thousand seconds. */
    static long callsPerThousandSeconds(int callsPerSecond, int backends) {
        return callsPerSecond / backends > 0
                ? 1000L * Math.min(MAX_CALLS, callsPerSecond / backends)
                : 1000L * callsPerSecond / backends;
    }
}
