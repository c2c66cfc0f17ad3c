package merlinlever;

import java.time.Duration;

/** Short words for the arithmetic of times. */
public final class Durations {

    private Durations() {}

    public static Duration ofMillis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    public static double toMillis(Duration duration) {
        return duration.toNanos() / 1e6;
    }

    public static Duration earlier(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    public static Duration later(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    public static boolean isReached(Duration now, Duration time) {
        return now.compareTo(time) >= 0;
    }
}
