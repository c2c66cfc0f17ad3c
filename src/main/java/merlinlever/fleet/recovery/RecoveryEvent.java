package merlinlever.fleet.recovery;

import java.time.Duration;

/**
 * A log event of the recovery sequence.
 *
 * @param at time of the event since the start of the process
 * @param name name of the event in kebab-case
 * @param stage the recovery stage after the event
 * @param details further {@code key=value} fields of the log line, separated by spaces, or empty
 */
public record RecoveryEvent(Duration at, String name, RecoveryStage stage, String details) {

    /** Returns the log line of the event. */
    public String toLogLine() {
        return name + " stage=" + stage.wireName() + (details.isEmpty() ? "" : " " + details);
    }
}
