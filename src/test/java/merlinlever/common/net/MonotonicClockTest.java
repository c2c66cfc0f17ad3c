package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MonotonicClockTest {

    @Test
    void unixTimesAreConvertedWithTheLastMeasuredOffset() {
        AtomicLong monotonicNanos = new AtomicLong(50);
        AtomicLong unixNanos = new AtomicLong(10_000_000_000L);
        // The process is paused for 400 ms between the first readings of the two clocks, and never afterwards.
        AtomicLong unixReadings = new AtomicLong();
        MonotonicClock clock = new MonotonicClock(
                () -> {
                    long reading = unixNanos.get();
                    if (unixReadings.incrementAndGet() == 1) {
                        monotonicNanos.addAndGet(400_000_000);
                        unixNanos.addAndGet(400_000_000);
                    }
                    return reading;
                },
                monotonicNanos::get);
        assertEquals(Duration.ofMillis(400), clock.now());
        assertEquals(Duration.ofMillis(-500), clock.fromUnixMillis(9_500));
        clock.setOriginAgo(Duration.ofMillis(100));
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-300), clock.fromUnixMillis(10_000));
        // The Unix clock steps forward: Unix times shift after the next measurement, durations are not affected.
        unixNanos.addAndGet(30_000_000);
        clock.resyncUnixOffset();
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-330), clock.fromUnixMillis(10_000));
    }
}
