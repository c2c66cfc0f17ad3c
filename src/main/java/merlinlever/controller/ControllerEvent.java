package merlinlever.controller;

import java.time.Duration;
import java.util.Locale;
import merlinlever.common.Durations;

/** Event of an overload controller for the log. */
public sealed interface ControllerEvent {

    /** Returns the log line: the name of the event, followed by its fields. */
    String logLine();

    /**
     * The drain of the server has started.
     *
     * @param untilStop the time until the process is stopped
     * @param queued the number of requests in the admission queue
     * @param started the number of requests that run or wait for a downstream call
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
     * The runs on the cores have stalled or have resumed.
     *
     * @param silence the time without progress of any run
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

    /** A request made an illegal phase transition, which is a defect of the controller. */
    record IllegalPhaseChange(String from, String to) implements ControllerEvent {

        @Override
        public String logLine() {
            return "illegal-phase-change from=" + from + " to=" + to;
        }
    }
}
