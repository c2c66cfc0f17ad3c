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

/** A real event loop on a thread of its own, whose clock advances only where the test advances it. */
public final class ManualClockLoop implements AutoCloseable {

    /** Real time to wait for something that never comes; it decides no assertion otherwise. */
    public static final int TIMEOUT_MS = 10_000;

    private final AtomicLong nanos = new AtomicLong(1_000_000_000_000L);
    private final List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
    private final Thread thread;
    public final EventLoop loop;

    /** A loop on sockets. */
    public ManualClockLoop() throws IOException {
        loop = new EventLoop(new MonotonicClock(nanos::get, nanos::get), failures::add);
        thread = startThread();
    }

    /** A loop in memory, on which connecting reaches the test's peers. */
    public ManualClockLoop(Function<SocketAddress, Connection.InMemoryPeer> peers) {
        loop = new EventLoop(new MonotonicClock(nanos::get, nanos::get), failures::add, peers);
        thread = startThread();
    }

    private Thread startThread() {
        Thread started = new Thread(loop::run);
        started.setDaemon(true);
        started.start();
        return started;
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

    /** Runs the task on the loop and waits for it. */
    public void runOnLoop(Runnable task) {
        callOnLoop(() -> {
            task.run();
            return null;
        });
    }

    /** Advances the clock; the timers that are due have run when this returns. */
    public void advance(long ms) {
        CompletableFuture<Void> last = new CompletableFuture<>();
        loop.execute(() -> {
            advanceOnLoop(ms);
            loop.schedule(Duration.ZERO, () -> last.complete(null));
        });
        join(last);
    }

    /** Advances the clock from a task on the loop: timers are due with the running batch. */
    public void advanceOnLoop(long ms) {
        nanos.addAndGet(Duration.ofMillis(ms).toNanos());
    }

    /** Runs so many batches; on a loop in memory everything written has arrived after a few. */
    public void runBatches(int count) {
        for (int i = 0; i < count; i++) {
            advance(0);
        }
    }

    /** Waits until the condition, which is evaluated on the loop, holds. */
    public void awaitCondition(BooleanSupplier condition, String description) {
        long startedNanos = System.nanoTime();
        while (!callOnLoop(condition::getAsBoolean)) {
            assertTrue(System.nanoTime() - startedNanos < TIMEOUT_MS * 1_000_000L, "did not come: " + description);
            Thread.onSpinWait();
        }
    }

    /** Stops the loop, and asserts that nothing on it has failed. */
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
