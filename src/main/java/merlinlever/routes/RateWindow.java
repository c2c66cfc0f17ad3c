package merlinlever.routes;

import java.time.Duration;

/** Calls that may be begun in any stretch of so long: one backend's part of what a partner takes of the whole site. */
final class RateWindow {

    /** Remembered begins at the most, and so the most calls of one route and backend in a stretch. */
    static final int MOST = 4096;

    private static final long SECOND = 1_000_000_000L;

    private final long[] begun;
    private final long stretch;
    private int next, count;

    /** @param calls a second that the site may make, backends that divide them evenly; less than one each is one in some seconds */
    RateWindow(int calls, int backends) {
        int each = Math.min(MOST, calls / backends);
        begun = new long[Math.max(1, each)];
        stretch = each > 0 ? SECOND : (SECOND * backends + calls - 1) / calls;
    }

    boolean allows(Duration now) {
        return count < begun.length || now.toNanos() - begun[next] >= stretch;
    }

    void begin(Duration now) {
        begun[next] = now.toNanos();
        next = (next + 1) % begun.length;
        count = Math.min(begun.length, count + 1);
    }

    /** Whether all that it remembers is past. */
    boolean idle(Duration now) {
        return count == 0 || now.toNanos() - begun[(next + begun.length - 1) % begun.length] >= stretch;
    }

    /** Calls a second at the most of one of so many backends, in thousandths. */
    static long perThousandSeconds(int calls, int backends) {
        return calls / backends > 0 ? 1000L * Math.min(MOST, calls / backends) : 1000L * calls / backends;
    }
}
