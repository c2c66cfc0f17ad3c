package merlinlever.core;

import java.time.Duration;

/** Who waits for the answer to an operation; hears one of these, once. */
public interface ResponseSink {

    /** The result that a run of the operation, or of one that it repeats, has made. */
    void satisfied(byte[] result);

    /** It never ran; where the span is zero nothing is said about staying away. */
    void pushedBack(boolean nowhereElse, Duration stayAway);

    void brokenOff();
}
