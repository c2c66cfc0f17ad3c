package merlinlever.simulator;

import java.util.Locale;
import merlinlever.common.Durations;
import merlinlever.controller.ControllerEvent;

/** Formats controller events as log lines of the simulator's protocol; the simulator depends on the texts. */
final class WireEventText {

    private WireEventText() {}

    static String of(ControllerEvent event) {
        if (event instanceof ControllerEvent.DrainStarted drain) {
            return String.format(
                    Locale.ROOT,
                    "leaving: stop in %.0f ms, held=%d run=%d",
                    Durations.toMillis(drain.untilStop()),
                    drain.queued(),
                    drain.started());
        }
        if (event instanceof ControllerEvent.StallChanged stall) {
            return String.format(
                    Locale.ROOT,
                    "%s: run=%d held=%d silent=%.0f ms",
                    stall.stalled() ? "hangs" : "works again",
                    stall.onCores(),
                    stall.queued(),
                    Durations.toMillis(stall.silence()));
        }
        if (event instanceof ControllerEvent.IllegalPhaseChange change) {
            return change.logLine();
        }
        throw new IllegalArgumentException("unsupported event: " + event);
    }
}
