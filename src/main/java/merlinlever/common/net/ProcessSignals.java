package merlinlever.common.net;

/**
 * Passes SIGHUP (reload the configuration) and SIGTERM (drain and exit) to a subscriber. A SIGHUP received before the
 * subscription is passed on when the subscriber registers; after a SIGTERM no subscription is accepted. Thread-safe:
 * the JVM handles each signal on a thread of its own.
 */
public final class ProcessSignals {

    /** Receives signals. Implementations only submit a task to a thread of their own. */
    public interface Subscriber {
        /** Starts to reload the configuration. */
        void onHangup();

        /** Starts to drain; the subscriber calls {@link ProcessSignals#completeShutdown} when the drain has ended. */
        void onTerminate();
    }

    private Subscriber subscriber;
    private boolean hangupPending;
    private boolean terminating;
    private boolean shutdownComplete;

    /** Installs the handlers for the signals of this process. */
    public static ProcessSignals ofProcess() {
        ProcessSignals signals = new ProcessSignals();
        HangupSignal.onHangup(signals::hangup);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::terminate, "terminate"));
        return signals;
    }

    /** Handles a SIGHUP. */
    public synchronized void hangup() {
        if (subscriber == null) {
            hangupPending = true;
        } else {
            subscriber.onHangup();
        }
    }

    /**
     * Handles a SIGTERM. The JVM exits when this method returns; with a subscriber, it returns once the subscriber has
     * completed its shutdown.
     */
    public synchronized void terminate() {
        terminating = true;
        if (subscriber == null) {
            return;
        }
        if (!shutdownComplete) {
            subscriber.onTerminate();
        }
        boolean interrupted = false;
        while (!shutdownComplete) {
            try {
                wait();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes signals to the subscriber from now on; returns false if the process is already exiting. */
    public synchronized boolean subscribe(Subscriber newSubscriber) {
        if (terminating) {
            return false;
        }
        subscriber = newSubscriber;
        if (hangupPending) {
            newSubscriber.onHangup();
        }
        return true;
    }

    /** Allows the process to exit, after the subscriber has shut down or failed. */
    public synchronized void completeShutdown() {
        shutdownComplete = true;
        notifyAll();
    }
}
