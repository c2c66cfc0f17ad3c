package merlinlever.backend;

import java.time.Duration;

/** The time of the current batch of events, and whether the controller still has to decide on the batch. */
final class BatchState {

    private Duration now = Duration.ZERO;
    private boolean decisionNeeded;

    /** Returns the time of the last event or decision. */
    Duration now() {
        return now;
    }

    boolean isDecisionNeeded() {
        return decisionNeeded;
    }

    /** Records an event, on which the controller has to decide. */
    void eventAt(Duration eventTime) {
        now = eventTime;
        decisionNeeded = true;
    }

    /** Requests a further decision because carrying out the last one has changed the controller's input. */
    void requestDecision() {
        decisionNeeded = true;
    }

    /** Marks all events so far as covered by the decision that begins. */
    void beginDecision(Duration decisionTime) {
        now = decisionTime;
        decisionNeeded = false;
    }
}
