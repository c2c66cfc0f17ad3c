package merlinlever.net;

/**
 * What the system tells the process by signals: SIGHUP, to read its configuration again, and SIGTERM, to drain and end.
 * What comes before there is a receiver is remembered: a SIGHUP is passed on once there is one, and after a SIGTERM there
 * is none any more, as nothing was begun yet. Called on threads of the runtime's, one for each signal.
 */
public final class ProcessSignals {

    /** Who acts on them; each call only hands over to the receiver's own thread. */
    public interface Subscriber {
        void hangUp();

        void terminate();
    }

    private Subscriber receiver;
    private boolean hungUp, terminated, over;

    /** Those of this process, from here on. */
    public static ProcessSignals ofProcess() {
        ProcessSignals signals = new ProcessSignals();
        HangupSignal.handle(signals::hangUp);
        Runtime.getRuntime().addShutdownHook(new Thread(signals::terminate, "terminate"));
        return signals;
    }

    public synchronized void hangUp() {
        if (receiver == null) {
            hungUp = true;
        } else {
            receiver.hangUp();
        }
    }

    /** Returns once the receiver is done, or at once where there is none: the runtime ends then. */
    public synchronized void terminate() {
        terminated = true;
        if (receiver == null) {
            return;
        }
        if (!over) {
            receiver.terminate();
        }
        boolean interrupted = false;
        while (!over) {
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
    public synchronized boolean receive(Subscriber by) {
        if (terminated) {
            return false;
        }
        receiver = by;
        if (hungUp) {
            by.hangUp();
        }
        return true;
    }

    /** The receiver is done, also where it failed: nobody waits for it. */
    public synchronized void over() {
        over = true;
        notifyAll();
    }
}
