package merlinlever.common.net;

/**
 * SIGHUP, to reload the configuration, and SIGTERM, to drain and exit. Signals that come before there is a subscriber
 * are remembered: a SIGHUP is passed on at the subscription, and after a SIGTERM none is accepted any more. The runtime
 * calls it on a thread for each signal; thread-safe.
 */
public final class ProcessSignals {

    /** Acts on signals; a method only hands over to the subscriber's own thread. */
    public interface Subscriber {
        /** Reload the configuration. */
        void onHangup();

        /** Drain, and call {@link ProcessSignals#completeShutdown} at the end. */
        void onTerminate();
    }

    private Subscriber subscriber;
    private boolean hangupPending;
    private boolean terminating;
    private boolean shutdownComplete;

    /** Handles the signals of this process from now on. */
    public static ProcessSignals ofProcess() {
        ProcessSignals signals = new ProcessSignals();
        HangupSignal.onHangup(signals::hangup);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::terminate, "terminate"));
        return signals;
    }

    /** A SIGHUP has come. */
    public synchronized void hangup() {
        if (subscriber == null) {
            hangupPending = true;
        } else {
            subscriber.onHangup();
        }
    }

    /**
     * A SIGTERM has come; the runtime exits when this returns, which is after the shutdown where there is a subscriber.
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

    /** Passes signals on from now on; returns false if the process is exiting already and must not begin anything. */
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

    /** The subscriber has shut down or failed: the process may exit. */
    public synchronized void completeShutdown() {
        shutdownComplete = true;
        notifyAll();
    }
}
