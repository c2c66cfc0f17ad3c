package merlinlever.fleet.recovery;

import java.time.Duration;

/**
 * Something that happened during recovery, for the log.
 *
 * @param at when it happened, since the start of the process
 * @param name what happened, in lower case with hyphens
 * @param stage the stage after it
 * @param details further fields of the log line, {@code key=value} with spaces between, or empty
 */
public record RecoveryEvent(Duration at, String name, RecoveryStage stage, String details) {

    /** The line of the log. */
    public String toLogLine() {
        return name + " stage=" + stage.wireName() + (details.isEmpty() ? "" : " " + details);
    }
}
