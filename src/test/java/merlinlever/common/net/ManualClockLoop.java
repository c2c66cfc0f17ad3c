package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/** An event loop that runs on a thread of its own with a clock that only the test advances. */
public final class ManualClockLoop implements AutoCloseable {

    /** Real time after which a wait fails, so that a broken test does not hang. */
    public static final int TIMEOUT_MS = 10_000;

    private final AtomicLong nanos = new AtomicLong(1_000_000_000_000L);
    private final List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
    private final Thread thread;
    public final EventLoop loop;

    /** Creates a loop with sockets. */
    public ManualClockLoop() throws IOException {
        loop = new EventLoop(new MonotonicClock(nanos::get, nanos::get), failures::add);
        thread = startThread();
    }

    /** Creates a loop without sockets; connections go to the in-memory peer that the function returns. */
    public ManualClockLoop(Function<SocketAddress, Connection.InMemoryPeer> peers) {
        loop = new EventLoop(new MonotonicClock(nanos::get, nanos::get), failures::add, peers);
        thread = startThread();
    }

    private Thread startThread() {
        Thread loopThread = new Thread(loop::run);
        loopThread.setDaemon(true);
        loopThread.start();
        return loopThread;
    }

    /** Runs the task on the loop and returns its result. */
    public <T> T callOnLoop(Supplier<T> task) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(task.get());
            } catch (RuntimeException | Error e) {
                done.completeExceptionally(e);
            }
        });
        return join(done);
    }

    private static <T> T join(CompletableFuture<T> done) {
        return done.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }

    /** Runs the task on the loop and waits until it has completed. */
    public void runOnLoop(Runnable task) {
        callOnLoop(() -> {
            task.run();
            return null;
        });
    }

    /** Advances the clock and waits until all timers that fall due have run. */
    public void advance(long ms) {
        CompletableFuture<Void> last = new CompletableFuture<>();
        loop.execute(() -> {
            advanceOnLoop(ms);
            loop.schedule(Duration.ZERO, () -> last.complete(null));
        });
        join(last);
    }

    /** Advances the clock; called from a task on the loop. Timers that fall due run at the end of the current batch. */
    public void advanceOnLoop(long ms) {
        nanos.addAndGet(Duration.ofMillis(ms).toNanos());
    }

    /** Runs the given number of batches; with in-memory peers, a few batches deliver everything that was written. */
    public void runBatches(int count) {
        for (int i = 0; i < count; i++) {
            advance(0);
        }
    }

    /** Waits until the condition holds; the condition is evaluated on the loop. */
    public void awaitCondition(BooleanSupplier condition, String description) {
        long startedNanos = System.nanoTime();
        while (!callOnLoop(condition::getAsBoolean)) {
            assertTrue(
                    System.nanoTime() - startedNanos < TIMEOUT_MS * 1_000_000L,
                    "timed out waiting for: " + description);
            Thread.onSpinWait();
        }
    }

    /** Stops the loop and asserts that none of its tasks has failed. */
    @Override
    public void close() {
        loop.stop();
        try {
            thread.join(TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        assertEquals(List.of(), failures);
    }
}
