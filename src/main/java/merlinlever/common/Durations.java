package merlinlever.common;

import java.time.Duration;

/** Arithmetic of durations, and of points in time that are durations since the start of a server. */
public final class Durations {

    private static final double NANOS_PER_MILLI = 1e6;

    private Durations() {}

    /** The duration of this number of milliseconds, truncated to nanoseconds. */
    public static Duration ofMillis(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    /** The duration in milliseconds, with its fraction. */
    public static double toMillis(Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLI;
    }

    /** The earlier of two points in time, or the shorter of two durations. */
    public static Duration earlier(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** The later of two points in time, or the longer of two durations. */
    public static Duration later(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    /** Whether it is that time or later. */
    public static boolean isReached(Duration now, Duration time) {
        return now.compareTo(time) >= 0;
    }
}
