package merlinlever.election;

import java.time.Duration;

/** Spans of leases on clocks that run apart. */
public final class ClockDrift {

    private ClockDrift() {}

    /** What was given by a clock that runs fast is out for so long by any other. */
    public static Duration slowest(Duration span, double drift) {
        return Duration.ofNanos((long) (span.toNanos() * (1 + drift)));
    }

    /** What may be counted on for the span by a clock that runs slow. */
    public static Duration surest(Duration span, double drift) {
        return Duration.ofNanos((long) (span.toNanos() * (1 - drift)));
    }
}
