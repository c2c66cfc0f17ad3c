package merlinlever.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The health that the controller reports, and deep health checks: one check in flight answers everyone who asks
 * meanwhile.
 */
final class HealthChecks {

    private final Runnable deepCheck;
    private final List<Consumer<Boolean>> waitingListeners = new ArrayList<>();
    private boolean healthy;
    private boolean deepCheckInFlight;

    /** Uses the given action to start a deep check. */
    HealthChecks(Runnable deepCheck) {
        this.deepCheck = deepCheck;
    }

    boolean isHealthy() {
        return healthy;
    }

    void updateHealth(boolean nowHealthy) {
        healthy = nowHealthy;
    }

    /**
     * Notifies the listener whether requests get served: at once if the backend is unhealthy, else after the deep
     * check.
     */
    void runDeepCheck(Consumer<Boolean> listener) {
        if (!healthy) {
            listener.accept(false);
            return;
        }
        waitingListeners.add(listener);
        if (!deepCheckInFlight) {
            deepCheckInFlight = true;
            deepCheck.run();
        }
    }

    /** The deep check in flight has ended; it counts only while the backend is healthy. */
    void deepCheckCompleted(boolean passed) {
        deepCheckInFlight = false;
        List<Consumer<Boolean>> listeners = List.copyOf(waitingListeners);
        waitingListeners.clear();
        listeners.forEach(listener -> listener.accept(passed && healthy));
    }
}
