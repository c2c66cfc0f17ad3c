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
 * Replaces files of a state directory on a background thread, one at a time, so that a slow disk does not block the
 * event loop. All methods are called on the event loop, which also runs the completions.
 */
public final class BackgroundWriter {

    private final StateDirectory directory;
    private final Executor eventLoop;
    private final ExecutorService writerThread;
    private boolean busy;

    /**
     * Creates a writer with its own daemon thread.
     *
     * @param threadName name of the thread
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

    /** Returns whether a write is in progress. */
    public boolean isBusy() {
        return busy;
    }

    /**
     * Starts to replace a file, unless a write is in progress or this writer is closed.
     *
     * @param completion called when the write has ended, with empty if the bytes are on disk and with the exception
     *     otherwise; {@link #isBusy} is already false
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
            // Without a call of the completion, the writer would remain busy forever.
            return Optional.of(new IOException(e));
        }
    }

    /**
     * Rejects further writes and waits for the write in progress, so that the directory does not change afterwards.
     *
     * @param timeout maximum time to wait, as a disk may hang
     * @return whether the write in progress, if any, has ended
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
