package merlinlever.fleet.routes;

import java.time.Duration;

/**
 * Limits the calls that one backend may start along a route within any window of one second to this backend's share
 * of the route's rate. Times are durations since the start of the process. Not thread-safe.
 */
final class RateWindow {

    /** Maximum number of recorded call starts, which also limits the calls of one route and backend per window. */
    static final int MAX_CALLS = 4096;

    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Ring buffer of the start times of the latest calls. */
    private final long[] startNanos;

    private final long windowNanos;
    private int nextSlot;
    private int recordedCalls;

    /**
     * Creates the rate window of one backend.
     *
     * @param callsPerSecond maximum rate of the whole site
     * @param backends number of backends that share the rate evenly; if the share is less than one call per second,
     *     one call is allowed per window of several seconds
     */
    RateWindow(int callsPerSecond, int backends) {
        int callsPerBackend = Math.min(MAX_CALLS, callsPerSecond / backends);
        startNanos = new long[Math.max(1, callsPerBackend)];
        windowNanos =
                callsPerBackend > 0 ? SECOND_NANOS : (SECOND_NANOS * backends + callsPerSecond - 1) / callsPerSecond;
    }

    /** Whether a call may start now. */
    boolean hasCapacity(Duration now) {
        return recordedCalls < startNanos.length || now.toNanos() - startNanos[nextSlot] >= windowNanos;
    }

    /** Records the start of a call. */
    void recordStart(Duration now) {
        startNanos[nextSlot] = now.toNanos();
        nextSlot = (nextSlot + 1) % startNanos.length;
        recordedCalls = Math.min(startNanos.length, recordedCalls + 1);
    }

    /** Whether no recorded call started within the window. */
    boolean isIdle(Duration now) {
        int latest = (nextSlot + startNanos.length - 1) % startNanos.length;
        return recordedCalls == 0 || now.toNanos() - startNanos[latest] >= windowNanos;
    }

    /** Maximum number of calls of one backend per thousand seconds. */
    static long callsPerThousandSeconds(int callsPerSecond, int backends) {
        return callsPerSecond / backends > 0
                ? 1000L * Math.min(MAX_CALLS, callsPerSecond / backends)
                : 1000L * callsPerSecond / backends;
    }
}
