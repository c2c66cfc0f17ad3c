package merlinlever.net;

/**
 * What the system tells the process by signals: SIGHUP, to read its configuration again, and SIGTERM, to drain and end.
 * What comes before there is a receiver is remembered: a SIGHUP is passed on once there is one, and after a SIGTERM there
 * is none any more, as nothing was begun yet. Called on threads of the runtime's, one for each signal.
 */
public final class ProcessSignals {

    /** Who acts on them; each call only hands over to the receiver's own thread. */
    public interface Subscriber {
        void onHangup();

        void onTerminate();
    }

    private Subscriber subscriber;
    private boolean hangupPending, terminating, shutdownComplete;

    /** Those of this process, from here on. */
    public static ProcessSignals ofProcess() {
        ProcessSignals signals = new ProcessSignals();
        HangupSignal.onHangup(signals::hangup);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::terminate, "terminate"));
        return signals;
    }

    public synchronized void hangup() {
        if (subscriber == null) {
            hangupPending = true;
        } else {
            subscriber.onHangup();
        }
    }

    /** Returns once the receiver is done, or at once where there is none: the runtime ends then. */
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

    /** Signals go there from here on; false where the process is ending and nothing is to be begun. */
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

    /** The receiver is done, also where it failed: nobody waits for it. */
    public synchronized void completeShutdown() {
        shutdownComplete = true;
        notifyAll();
    }
}
