package merlinlever.core;

import java.time.Duration;
import merlinlever.ControllerEvent;

/**
 * What an adapter carries out after a settling. The calls come in the one order that the rules allow, which is the
 * order of the methods here.
 *
 * @param <T> what the adapter knows an operation by
 */
public interface DecisionHandler<T> {

    void level(double level);

    void health(boolean good);

    void closeIdle(Duration after);

    void keep(T operation, Duration span);

    void breakOff(T operation);

    void halt(T operation);

    void pushBack(T operation, boolean nowhereElse, Duration stayAway);

    void forget(T operation);

    void start(T operation);

    void share(T operation);

    void call(T operation, Duration giveUpAfter);

    void omit(T operation);

    void log(ControllerEvent event);

    /** Earlier than any alarm that is still to come. */
    void alarm(Duration at);

    /** Nothing will name the operation again. */
    void release(T operation);
}
