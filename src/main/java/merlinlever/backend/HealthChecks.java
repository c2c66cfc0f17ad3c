package merlinlever.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The health reported by the controller, and deep health checks. Concurrent requests for a check share one. */
final class HealthChecks {

    private final Runnable startDeepCheck;
    private final List<Consumer<Boolean>> waitingListeners = new ArrayList<>();
    private boolean healthy;
    private boolean deepCheckInFlight;

    /** @param startDeepCheck starts a deep check and returns without waiting for its end */
    HealthChecks(Runnable startDeepCheck) {
        this.startDeepCheck = startDeepCheck;
    }

    boolean isHealthy() {
        return healthy;
    }

    void updateHealth(boolean newHealthy) {
        healthy = newHealthy;
    }

    /**
     * Notifies the listener whether the server can serve requests: immediately if the backend is unhealthy, otherwise
     * after a deep check.
     */
    void runDeepCheck(Consumer<Boolean> listener) {
        if (!healthy) {
            listener.accept(false);
            return;
        }
        waitingListeners.add(listener);
        if (!deepCheckInFlight) {
            deepCheckInFlight = true;
            startDeepCheck.run();
        }
    }

    /** Notifies all waiting listeners of the result, which is a failure if the backend is unhealthy by now. */
    void deepCheckCompleted(boolean passed) {
        deepCheckInFlight = false;
        List<Consumer<Boolean>> listeners = List.copyOf(waitingListeners);
        waitingListeners.clear();
        listeners.forEach(listener -> listener.accept(passed && healthy));
    }
}
