package merlinlever.common;

import java.time.Duration;

/** Arithmetic on durations, and on points in time expressed as durations since the start of a server. */
public final class Durations {

    private static final double NANOS_PER_MILLI = 1e6;

    private Durations() {}

    /** Returns a duration of the given number of milliseconds, truncated to nanoseconds. */
    public static Duration ofMillis(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /** Returns the duration in milliseconds, including fractions of a millisecond. */
    public static double toMillis(Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLI;
    }

    /** Returns the earlier of two points in time, or the shorter of two durations. */
    public static Duration earlier(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** Returns the later of two points in time, or the longer of two durations. */
    public static Duration later(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    /** Returns whether {@code now} is at or after {@code time}. */
    public static boolean isReached(Duration now, Duration time) {
        return now.compareTo(time) >= 0;
    }
}
