package merlinlever.common.net;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Durations since an origin, on a clock that never steps. The origin can be set anew. Unix times are converted by the
 * offset between the two clocks, which is measured again now and then, as the two need not run equally fast.
 */
public final class MonotonicClock {

    /** The process may be paused between two readings of the clocks: of so many pairs the closest one counts. */
    private static final int CLOCK_READINGS = 5;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private final LongSupplier unixNanos;
    private final LongSupplier monotonicNanos;
    private final long createdNanos;
    private long unixOffsetNanos;
    private long originNanos;

    /**
     * A clock on two others, which count nanoseconds.
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

    /** A clock on those of the system; the origin is now. */
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
