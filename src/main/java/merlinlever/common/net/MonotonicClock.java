package merlinlever.common.net;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Durations since an origin, on a clock that never steps. The origin can be reset. Unix times are converted by the offset
 * between the two clocks, which is measured repeatedly, as they may drift apart. Used on the event loop's thread.
 */
public final class MonotonicClock {

    /** Pairs of readings of both clocks; the closest pair counts, as the process may be paused between two readings. */
    private static final int CLOCK_READINGS = 5;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private final LongSupplier unixNanos;
    private final LongSupplier monotonicNanos;
    private final long createdNanos;
    private long unixOffsetNanos;
    private long originNanos;

    /**
     * Creates a clock from two others, which count nanoseconds.
     *
     * @param unixNanos since 1970; may step
     * @param monotonicNanos since any time; never steps back
     */
    public MonotonicClock(LongSupplier unixNanos, LongSupplier monotonicNanos) {
        this.unixNanos = unixNanos;
        this.monotonicNanos = monotonicNanos;
        createdNanos = monotonicNanos.getAsLong();
        originNanos = createdNanos;
        resyncUnixOffset();
    }

    /** Creates a clock from those of the system; the origin is now. */
    public static MonotonicClock system() {
        return new MonotonicClock(
                () -> {
                    Instant now = Instant.now();
                    return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
                },
                System::nanoTime);
    }

    /** Measures again how far the Unix clock is ahead. */
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

    /** Durations count from this long ago from now on. */
    public void setOriginAgo(Duration ago) {
        originNanos = monotonicNanos.getAsLong() - ago.toNanos();
    }

    /** Time since this clock was made, whatever the origin. */
    public Duration uptime() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - createdNanos);
    }

    /** Time since the origin. */
    public Duration now() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - originNanos);
    }

    /** The time since the origin that corresponds to a Unix time; negative for one before the origin. */
    public Duration fromUnixMillis(long unixMillis) {
        return Duration.ofNanos(unixMillis * NANOS_PER_MILLI - unixOffsetNanos - originNanos);
    }

    long nanoTime() {
        return monotonicNanos.getAsLong();
    }
}
