package merlinlever.net;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Spans since a start that can be set once more, on a clock that never steps. Times of the Unix clock are brought over
 * by how far that one is ahead, which is read again now and then, as the two need not run equally fast.
 */
public final class MonotonicClock {

    /** The process may be held up between two readings of the clocks; the narrowest of so many pairs counts. */
    private static final int CLOCK_READINGS = 5;

    private final LongSupplier unixNanos;
    private final LongSupplier monotonicNanos;
    private final long createdNanos;
    private long unixOffsetNanos;
    private long originNanos;

    /** On clocks that count nanoseconds, the one since 1970. */
    public MonotonicClock(LongSupplier unixNanos, LongSupplier monotonicNanos) {
        this.unixNanos = unixNanos;
        this.monotonicNanos = monotonicNanos;
        createdNanos = monotonicNanos.getAsLong();
        originNanos = createdNanos;
        resyncUnixOffset();
    }

    public static MonotonicClock system() {
        return new MonotonicClock(
                () -> {
                    Instant now = Instant.now();
                    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
                },
                System::nanoTime);
    }

    /** Reads again how far the Unix clock is ahead. */
    public void resyncUnixOffset() {
        long smallestGap = Long.MAX_VALUE;
        for (int i = 0; i < CLOCK_READINGS; i++) {
            long before = monotonicNanos.getAsLong();
            long unixReading = unixNanos.getAsLong();
            long gap = monotonicNanos.getAsLong() - before;
            if (gap < smallestGap) {
                smallestGap = gap;
                unixOffsetNanos = unixReading - before - gap / 2;
            }
        }
    }

    /** From here on spans count from so long ago. */
    public void setOriginAgo(Duration ago) {
        originNanos = monotonicNanos.getAsLong() - ago.toNanos();
    }

    /** Since this clock was made, whatever else spans count from. */
    public Duration uptime() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - createdNanos);
    }

    public Duration now() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - originNanos);
    }

    /** The span since the start that a Unix time stands for; it may lie before the start. */
    public Duration fromUnixMillis(long unixMillis) {
        return Duration.ofNanos(unixMillis * 1_000_000L - unixOffsetNanos - originNanos);
    }

    long nanoTime() {
        return monotonicNanos.getAsLong();
    }
}
