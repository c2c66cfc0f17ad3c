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

    /** After a pause the loop runs due timers in their order, and a periodic one once. */
    @Test
    void afterAStallTimersRunInOrderAndPeriodicOnesOnce() throws IOException {
        AtomicLong nanos = new AtomicLong();
        EventLoop loop = new EventLoop(new MonotonicClock(() -> 0, nanos::get), failures::add);
        List<String> ran = new ArrayList<>();
        loop.schedule(Duration.ofMillis(30), () -> ran.add("b"));
        loop.schedule(Duration.ofMillis(20), () -> ran.add("a"));
        EventLoop.Timer off = loop.schedule(Duration.ofMillis(25), () -> ran.add("off"));
        loop.runNowAndEvery(Duration.ofMillis(10), () -> ran.add("tick"));
        off.cancel();
        loop.execute(() -> {
            throw new IllegalStateException("on purpose");
        });
        loop.execute(() -> nanos.addAndGet(500_000_000));
        loop.setAfterBatch(() -> {
            if (ran.contains("b")) {
                loop.stop();
            }
        });
        loop.run();
        assertEquals(List.of("tick", "tick", "a", "b"), ran);
        assertEquals(1, failures.size());
    }
}
