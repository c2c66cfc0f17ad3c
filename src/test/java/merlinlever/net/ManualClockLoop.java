package merlinlever.net;

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

/** A real loop on a thread of its own, whose time stands still but where the test moves it on. */
public final class ManualClockLoop implements AutoCloseable {

    /** Of real time, for what never comes; it decides no verdict. */
    public static final int TIMEOUT_MS = 10_000;

    private final AtomicLong nanos = new AtomicLong(1_000_000_000_000L);
    private final List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
    private final Thread thread;
    public final EventLoop loop;

    /** On sockets. */
    public ManualClockLoop() throws IOException {
        loop = new EventLoop(new MonotonicClock(nanos::get, nanos::get), failures::add);
        thread = startThread();
    }

    /** In memory: what is connected to is a party of the test's. */
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

    /** What the task returns, which runs on the loop. */
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

    public void runOnLoop(Runnable task) {
        callOnLoop(() -> {
            task.run();
            return null;
        });
    }

    /** So much later; the timers that are due have run when this returns. */
    public void advance(long ms) {
        CompletableFuture<Void> last = new CompletableFuture<>();
        loop.execute(() -> {
            advanceOnLoop(ms);
            loop.schedule(Duration.ZERO, () -> last.complete(null));
        });
        join(last);
    }

    /** From a task on the loop: its timers are due with the batch that runs. */
    public void advanceOnLoop(long ms) {
        nanos.addAndGet(Duration.ofMillis(ms).toNanos());
    }

    /** So many batches have run; in memory all that was under way has arrived after some. */
    public void runBatches(int count) {
        for (int i = 0; i < count; i++) {
            advance(0);
        }
    }

    /** Waits for what is sure to come. */
    public void awaitCondition(BooleanSupplier condition, String description) {
        long startedNanos = System.nanoTime();
        while (!callOnLoop(condition::getAsBoolean)) {
            assertTrue(System.nanoTime() - startedNanos < TIMEOUT_MS * 1_000_000L, "did not come: " + description);
            Thread.onSpinWait();
        }
    }

    /** Ends it; nothing on it may have failed. */
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
