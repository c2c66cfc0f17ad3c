package merlinlever.common.storage;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Replaces files of a state directory on a thread of its own, as a disk may take long and the event loop may not wait; one write at a
 * time. All methods are called on the event loop, and completions are reported there.
 */
public final class BackgroundWriter {

    private final StateDirectory directory;
    private final Executor eventLoop;
    private final ExecutorService writerThread;
    private boolean busy;

    /**
     * A writer with its own thread.
     *
     * @param threadName of the daemon thread that writes
     */
    public BackgroundWriter(StateDirectory directory, Executor eventLoop, String threadName) {
        this.directory = directory;
        this.eventLoop = eventLoop;
        writerThread = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, threadName);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Whether a write is in progress. */
    public boolean isBusy() {
        return busy;
    }

    /**
     * Starts to replace a file unless a write is in progress or this writer is closed.
     *
     * @param completion receives nothing once the bytes are on the disk, or why they are not; {@link #isBusy} is false by then
     * @return whether the write was started; if not, {@code completion} is never called
     */
    public boolean replace(String name, byte[] bytes, Consumer<Optional<IOException>> completion) {
        if (busy || writerThread.isShutdown()) {
            return false;
        }
        busy = true;
        writerThread.execute(() -> {
            Optional<IOException> failure = tryReplace(name, bytes);
            eventLoop.execute(() -> {
                busy = false;
                completion.accept(failure);
            });
        });
        return true;
    }

    private Optional<IOException> tryReplace(String name, byte[] bytes) {
        try {
            directory.replace(name, bytes);
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(e);
        } catch (RuntimeException e) {
            // Whatever fails, the completion has to be called, or this writer would stay busy for good.
            return Optional.of(new IOException(e));
        }
    }

    /**
     * Starts no further write and waits for the one in progress, so that the directory is not touched afterwards.
     *
     * @param timeout for the wait, as a disk may hang
     * @return whether no write is in progress any more
     */
    public boolean close(Duration timeout) {
        writerThread.shutdown();
        try {
            return writerThread.awaitTermination(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return writerThread.isTerminated();
        }
    }
}
