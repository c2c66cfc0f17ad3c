package merlinlever.recovery.disk;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import merlinlever.recovery.Memory;

/**
 * Writes on a thread of its own, as a disk may take its time and the loop may not; one at a time. What came of it is told
 * on the loop.
 */
public final class Writer {

    private record Job(Memory memory, Consumer<IOException> done) {
    }

    private final Store store;
    private final Executor loop;
    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>(1);
    private boolean busy;

    public Writer(Store store, Executor loop) {
        this.store = store;
        this.loop = loop;
        Thread thread = new Thread(this::work, "recovery-disk");
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether a write is under way. */
    public boolean busy() {
        return busy;
    }

    /** Writes it unless one is under way; {@code done} hears null when it is on the disk, or what went wrong. */
    public boolean write(Memory memory, Consumer<IOException> done) {
        if (busy) {
            return false;
        }
        busy = true;
        return jobs.offer(new Job(memory, done));
    }

    private void work() {
        try {
            while (true) {
                Job job = jobs.take();
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
