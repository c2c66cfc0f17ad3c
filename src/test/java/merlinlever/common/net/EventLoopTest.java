package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class EventLoopTest {

    private final List<Throwable> failures = new ArrayList<>();

    /** After a stall, timers that fell due run in the order of their due times, and a periodic timer runs only once. */
    @Test
    void afterAStallDueTimersRunInOrderAndPeriodicTimersRunOnce() throws IOException {
        AtomicLong nanos = new AtomicLong();
        EventLoop loop = new EventLoop(new MonotonicClock(() -> 0, nanos::get), failures::add);
        List<String> runs = new ArrayList<>();
        loop.schedule(Duration.ofMillis(30), () -> runs.add("b"));
        loop.schedule(Duration.ofMillis(20), () -> runs.add("a"));
        EventLoop.Timer cancelled = loop.schedule(Duration.ofMillis(25), () -> runs.add("cancelled"));
        loop.runNowAndEvery(Duration.ofMillis(10), () -> runs.add("tick"));
        cancelled.cancel();
        loop.execute(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        loop.execute(() -> nanos.addAndGet(500_000_000));
        loop.setAfterBatch(() -> {
            if (runs.contains("b")) {
                loop.stop();
            }
        });
        loop.run();
        assertEquals(List.of("tick", "tick", "a", "b"), runs);
        assertEquals(1, failures.size());
    }
}
