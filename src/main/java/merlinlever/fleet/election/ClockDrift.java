package merlinlever.fleet.election;

import java.time.Duration;

/** Durations of leases on clocks that run apart by a bounded fraction. */
public final class ClockDrift {

    private ClockDrift() {}

    /** How long to wait by the own clock so that the duration has passed on every other clock. */
    public static Duration upperBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 + drift)));
    }

    /** How long by the own clock the duration surely has not yet passed on any other clock. */
    public static Duration lowerBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 - drift)));
    }
}
