package merlinlever.fleet.election;

import java.time.Duration;

/** Converts lease durations between clocks whose rates differ by a bounded fraction. */
public final class ClockDrift {

    private ClockDrift() {}

    /** Returns the time on the local clock after which the duration has passed on every other clock. */
    public static Duration upperBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 + drift)));
    }

    /** Returns the time on the local clock during which the duration has not yet passed on any other clock. */
    public static Duration lowerBound(Duration duration, double drift) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 - drift)));
    }
}
