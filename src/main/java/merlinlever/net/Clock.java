package merlinlever.net;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Spans since a start that can be set once more, monotonic from one reading of the Unix clock; a step of the system's
 * clock changes nothing here.
 */
public final class Clock {

    private final LongSupplier nanos;
    private final long readAt;
    private final long unixNanosThen;
    private long start;

    public Clock(Instant unix, LongSupplier nanos) {
        this.nanos = nanos;
        readAt = nanos.getAsLong();
        unixNanosThen = unix.getEpochSecond() * 1_000_000_000L + unix.getNano();
        start = readAt;
    }

    public static Clock system() {
        return new Clock(Instant.now(), System::nanoTime);
    }

    /** From here on spans count from so long ago. */
    public void startWas(Duration ago) {
        start = nanos.getAsLong() - ago.toNanos();
    }

    /** Since this clock was made, whatever else spans count from. */
    public Duration uptime() {
        return Duration.ofNanos(nanos.getAsLong() - readAt);
    }

    public Duration now() {
        return Duration.ofNanos(nanos.getAsLong() - start);
    }

    /** The span since the start that a Unix time stands for; it may lie before the start. */
    public Duration ofUnix(long millis) {
        return Duration.ofNanos(millis * 1_000_000L - unixNanosThen + (readAt - start));
    }

    long nanoTime() {
        return nanos.getAsLong();
    }
}
