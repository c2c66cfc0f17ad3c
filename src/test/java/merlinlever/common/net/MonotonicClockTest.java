package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MonotonicClockTest {

    @Test
    void unixTimesAreConvertedByTheLastMeasuredOffset() {
        AtomicLong nanos = new AtomicLong(50);
        AtomicLong unix = new AtomicLong(10_000_000_000L);
        // A pause of 400 ms between the first two readings of the clocks, and none between later ones.
        AtomicLong readings = new AtomicLong();
        MonotonicClock clock = new MonotonicClock(
                () -> {
                    long then = unix.get();
                    if (readings.incrementAndGet() == 1) {
                        nanos.addAndGet(400_000_000);
                        unix.addAndGet(400_000_000);
                    }
                    return then;
                },
                nanos::get);
        assertEquals(Duration.ofMillis(400), clock.now());
        assertEquals(Duration.ofMillis(-500), clock.fromUnixMillis(9_500));
        clock.setOriginAgo(Duration.ofMillis(100));
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-300), clock.fromUnixMillis(10_000));
        // The Unix clock gains on the other: that shows at the next measurement, and durations are not affected.
        unix.addAndGet(30_000_000);
        clock.resyncUnixOffset();
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-330), clock.fromUnixMillis(10_000));
    }
}
