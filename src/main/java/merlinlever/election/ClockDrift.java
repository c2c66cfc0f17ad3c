package merlinlever.election;

import java.time.Duration;

/** Spans of leases on clocks that run apart. */
public final class ClockDrift {

    private ClockDrift() {}

    /** What was given by a clock that runs fast is out for so long by any other. */
    public static Duration upperBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 + drift)));
    }

    /** What may be counted on for the span by a clock that runs slow. */
    public static Duration lowerBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 - drift)));
    }
}
