package merlinlever.controller;

import java.time.Duration;
import java.util.Locale;
import merlinlever.common.Durations;

/** Something that the log is to tell of; it has no effect. */
public sealed interface ControllerEvent {

    /** The line for the log: the event, then its figures. */
    String logLine();

    /**
     * The server is draining.
     *
     * @param untilStop how long until its process is stopped
     * @param started requests that run or wait for a downstream call
     */
    record DrainStarted(Duration untilStop, int queued, int started) implements ControllerEvent {

        @Override
        public String logLine() {
            return String.format(
                    Locale.ROOT,
                    "drain-started stop_ms=%.0f queued=%d running=%d",
                    Durations.toMillis(untilStop),
                    queued,
                    started);
        }
    }

    /**
     * The runs on the cores have stalled, or make progress again.
     *
     * @param silence how long no run had made progress
     */
    record StallChanged(boolean stalled, int onCores, int queued, Duration silence) implements ControllerEvent {

        @Override
        public String logLine() {
            return String.format(
                    Locale.ROOT,
                    "%s running=%d queued=%d silent_ms=%.0f",
                    stalled ? "runs-stalled" : "runs-resumed",
                    onCores,
                    queued,
                    Durations.toMillis(silence));
        }
    }

    /** A request changed its phase in a way that no request should: a fault of the controller. */
    record IllegalPhaseChange(String from, String to) implements ControllerEvent {

        @Override
        public String logLine() {
            return "illegal-phase-change from=" + from + " to=" + to;
        }
    }
}
