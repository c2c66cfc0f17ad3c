package merlinlever.cli.service;

import java.util.concurrent.CountDownLatch;
import merlinlever.common.net.EventLoop;

/**
 * Runs the event loop of a service on the calling thread. On SIGTERM or any other exit of the JVM, a shutdown hook
 * starts the service's shutdown on the loop and waits until the loop has stopped.
 */
public final class ServiceRunner {

    private final EventLoop loop;
    private final CountDownLatch stopped = new CountDownLatch(1);

    private ServiceRunner(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Registers the shutdown hook.
     *
     * @param startShutdown runs on the loop and has to stop the loop eventually
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

    /** Runs the loop until it stops, and then {@code cleanUp}; the shutdown hook waits for both. */
    public void run(Runnable cleanUp) {
        try {
            loop.run();
        } finally {
            cleanUp.run();
            stopped.countDown();
        }
    }
}
