package merlinlever.replication.disk;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import merlinlever.storage.StateDirectory;

/** Replaces files on a thread of its own, one after the other; what came of each is told on the loop. */
public final class StateWriter {

    private record WriteJob(String name, byte[] octets, Consumer<IOException> done) {}

    /** Words and registers, each one at a time. */
    private static final int MOST = 2;

    private final StateDirectory folder;
    private final Executor loop;
    private final LinkedBlockingQueue<WriteJob> jobs = new LinkedBlockingQueue<>(MOST);

    public StateWriter(StateDirectory folder, Executor loop) {
        this.folder = folder;
        this.loop = loop;
        Thread thread = new Thread(this::work, "shared-disk");
        thread.setDaemon(true);
        thread.start();
    }

    /** What is there now, or null; at the start alone, before anything is written. */
    public byte[] read(String name) throws IOException {
        return folder.has(name) ? folder.read(name) : null;
    }

    /** {@code done} hears null when it is on the disk, or what went wrong; false where others wait already. */
    public boolean write(String name, byte[] octets, Consumer<IOException> done) {
        return jobs.offer(new WriteJob(name, octets, done));
    }

    private void work() {
        try {
            while (true) {
                WriteJob job = jobs.take();
                IOException failed = null;
                try {
                    folder.replace(job.name, job.octets);
                } catch (IOException e) {
                    failed = e;
                } catch (RuntimeException e) {
                    failed = new IOException(e);
                }
                IOException how = failed;
                loop.execute(() -> job.done.accept(how));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
