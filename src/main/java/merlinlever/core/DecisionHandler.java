package merlinlever.core;

import java.time.Duration;

/**
 * What an adapter carries out after a settling. The calls come in the one order that the rules allow, which is the
 * order of the methods here.
 *
 * @param <T> what the adapter knows an operation by
 */
public interface DecisionHandler<T> {

    void updateBackpressureLevel(double level);

    void updateHealth(boolean good);

    void closeIdleConnections(Duration after);

    void retain(T operation, Duration span);

    void fail(T operation);

    void stop(T operation);

    void reject(T operation, boolean nowhereElse, Duration stayAway);

    void evict(T operation);

    void start(T operation);

    void shareOutcome(T operation);

    void callDownstream(T operation, Duration giveUpAfter);

    void skipCall(T operation);

    void log(String line);

    /** Earlier than any alarm that is still to come. */
    void scheduleWakeUp(Duration at);

    /** Nothing will name the operation again. */
    void release(T operation);
}
