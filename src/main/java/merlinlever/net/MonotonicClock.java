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
    private static final int READINGS = 5;

    private final LongSupplier unix;
    private final LongSupplier nanos;
    private final long madeAt;
    private long ahead;
    private long start;

    /** On clocks that count nanoseconds, the one since 1970. */
    public MonotonicClock(LongSupplier unix, LongSupplier nanos) {
        this.unix = unix;
        this.nanos = nanos;
        madeAt = nanos.getAsLong();
        start = madeAt;
        compare();
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
    public void compare() {
        long narrowest = Long.MAX_VALUE;
        for (int i = 0; i < READINGS; i++) {
            long before = nanos.getAsLong();
            long then = unix.getAsLong();
            long gap = nanos.getAsLong() - before;
            if (gap < narrowest) {
                narrowest = gap;
                ahead = then - before - gap / 2;
            }
        }
    }

    /** From here on spans count from so long ago. */
    public void startWas(Duration ago) {
        start = nanos.getAsLong() - ago.toNanos();
    }

    /** Since this clock was made, whatever else spans count from. */
    public Duration uptime() {
        return Duration.ofNanos(nanos.getAsLong() - madeAt);
    }

    public Duration now() {
        return Duration.ofNanos(nanos.getAsLong() - start);
    }

    /** The span since the start that a Unix time stands for; it may lie before the start. */
    public Duration ofUnix(long millis) {
        return Duration.ofNanos(millis * 1_000_000L - ahead - start);
    }

    long nanoTime() {
        return nanos.getAsLong();
    }
}
