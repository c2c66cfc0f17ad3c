package merlinlever.common.net;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that returns the time since an origin, which can be reset. Unix times are converted with the
 * measured offset between the two clocks; {@link #resyncUnixOffset} measures the offset again, as the clocks may drift
 * apart. Used on the event loop's thread.
 */
public final class MonotonicClock {

    /**
     * Pairs of readings per measurement; the closest pair is used, as the process may be paused between two readings.
     */
    private static final int CLOCK_READINGS = 5;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private final LongSupplier unixNanos;
    private final LongSupplier monotonicNanos;
    private final long createdNanos;
    private long unixOffsetNanos;
    private long originNanos;

    /**
     * Creates a clock from two sources of nanoseconds.
     *
     * @param unixNanos returns the Unix time, which may step
     * @param monotonicNanos returns the time since an arbitrary origin, which never goes back
     */
    public MonotonicClock(LongSupplier unixNanos, LongSupplier monotonicNanos) {
        this.unixNanos = unixNanos;
        this.monotonicNanos = monotonicNanos;
        createdNanos = monotonicNanos.getAsLong();
        originNanos = createdNanos;
        resyncUnixOffset();
    }

    /** Creates a clock from the clocks of the operating system; the origin is the current time. */
    public static MonotonicClock system() {
        return new MonotonicClock(
                () -> {
                    Instant now = Instant.now();
                    return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
                },
                System::nanoTime);
    }

    /** Measures the offset between the Unix clock and the monotonic clock. */
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

    /** Sets the origin to the current time minus the given duration. */
    public void setOriginAgo(Duration ago) {
        originNanos = monotonicNanos.getAsLong() - ago.toNanos();
    }

    /** Returns the time since this clock was created, independent of the origin. */
    public Duration uptime() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - createdNanos);
    }

    /** Returns the time since the origin. */
    public Duration now() {
        return Duration.ofNanos(monotonicNanos.getAsLong() - originNanos);
    }

    /** Converts a Unix time to a time since the origin; the result is negative for a time before the origin. */
    public Duration fromUnixMillis(long unixMillis) {
        return Duration.ofNanos(unixMillis * NANOS_PER_MILLI - unixOffsetNanos - originNanos);
    }

    long nanoTime() {
        return monotonicNanos.getAsLong();
    }
}
