package merlinlever;

import java.time.Duration;

/** Short words for the arithmetic of times. */
public final class Durations {

    private Durations() {}

    public static Duration millis(double ms) {
        return Duration.ofNanos((long) (ms * 1e6));
    }

    public static double ms(Duration span) {
        return span.toNanos() / 1e6;
    }

    public static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    public static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    public static boolean reached(Duration now, Duration point) {
        return now.compareTo(point) >= 0;
    }
}
