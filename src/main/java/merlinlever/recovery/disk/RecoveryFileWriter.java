package merlinlever.recovery.disk;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import merlinlever.recovery.PersistedState;

/**
 * Writes on a thread of its own, as a disk may take its time and the loop may not; one at a time. What came of it is told
 * on the loop.
 */
public final class RecoveryFileWriter {

    private record Job(PersistedState memory, Consumer<IOException> done) {}

    private static final Job END = new Job(null, null);

    private final RecoveryFile store;
    private final Executor loop;
    /** One to be written, and the end. */
    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>(2);

    private final Thread thread;
    private boolean busy, closed;

    public RecoveryFileWriter(RecoveryFile store, Executor loop) {
        this.store = store;
        this.loop = loop;
        thread = new Thread(this::work, "recovery-disk");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether a write is under way. */
    public boolean isBusy() {
        return busy;
    }

    /** Writes it unless one is under way or it was closed; {@code done} hears null when it is on the disk, or what went wrong. */
    public boolean write(PersistedState memory, Consumer<IOException> done) {
        if (busy || closed) {
            return false;
        }
        busy = true;
        return jobs.offer(new Job(memory, done));
    }

    /**
     * Begins no write from here on and waits for the one under way, so that nothing is touched in the folder after it.
     *
     * @param within the wait at the most; a disk may hang
     * @return whether the last write has come to its end
     */
    public boolean close(Duration within) {
        if (!closed) {
            closed = true;
            jobs.offer(END);
        }
        try {
            thread.join(Math.max(1, within.toMillis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !thread.isAlive();
    }

    private void work() {
        try {
            for (Job next = jobs.take(); next != END; next = jobs.take()) {
                Job job = next;
                IOException failed = null;
                try {
                    store.write(job.memory);
                } catch (IOException e) {
                    failed = e;
                } catch (RuntimeException e) {
                    failed = new IOException(e);
                }
                IOException how = failed;
                loop.execute(() -> {
                    busy = false;
                    job.done.accept(how);
                });
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
