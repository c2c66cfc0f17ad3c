package merlinlever.cli.service;

import java.util.concurrent.CountDownLatch;
import merlinlever.common.net.EventLoop;

/**
 * Runs the event loop of a service on the calling thread. On SIGTERM, and wherever else the runtime begins to end, the shutdown is
 * started on the loop, and the runtime's end waits until the loop has stopped.
 */
public final class ServiceRunner {

    private final EventLoop loop;
    private final CountDownLatch stopped = new CountDownLatch(1);

    private ServiceRunner(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Handles the termination of the process from here on.
     *
     * @param startShutdown runs on the loop, which it has to stop sooner or later
     */
    public static ServiceRunner withShutdownHook(EventLoop loop, Runnable startShutdown) {
        ServiceRunner runner = new ServiceRunner(loop);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.execute(startShutdown);
            runner.awaitStop();
        }));
        return runner;
    }

    private void awaitStop() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the loop until it is stopped, and then {@code cleanUp}, before the process may end. */
    public void run(Runnable cleanUp) {
        try {
            loop.run();
        } finally {
            cleanUp.run();
            stopped.countDown();
        }
    }
}
