package merlinlever.backend;

import java.time.Duration;

/** The time of the batch of events being handled, and whether the controller still has to decide on them. */
final class BatchState {

    private Duration now = Duration.ZERO;
    private boolean decisionNeeded;

    /** The time of the last event or decision. */
    Duration now() {
        return now;
    }

    boolean isDecisionNeeded() {
        return decisionNeeded;
    }

    /** Something has happened that the controller has to decide on. */
    void eventAt(Duration eventTime) {
        now = eventTime;
        decisionNeeded = true;
    }

    /** Carrying out a decision has changed something that the controller has to decide on again. */
    void requestDecision() {
        decisionNeeded = true;
    }

    /** The controller now decides on all events so far. */
    void beginDecision(Duration decisionTime) {
        now = decisionTime;
        decisionNeeded = false;
    }
}
