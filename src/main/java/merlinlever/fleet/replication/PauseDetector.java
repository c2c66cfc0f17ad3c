package merlinlever.fleet.replication;

import java.time.Duration;

/**
 * Detects pauses of this process by long gaps between calls. A message that is read right after a pause may have waited
 * in this process's receive buffers for as long as the pause lasted.
 */
final class PauseDetector {

    /** Gaps between calls that are longer than this time count as a pause. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(2);
    /** Time after a pause in which messages that arrived during the pause may still be read from the buffers. */
    private static final Duration BACKLOG_PERIOD = Duration.ofSeconds(1);

    private Duration lastCall;
    private Duration backlogDelay = Duration.ZERO;
    private Duration backlogUntil = Duration.ZERO;

    PauseDetector(Duration now) {
        lastCall = now;
    }

    /** Is called on every activity; returns the duration of the pause that ended with this call, or zero. */
    Duration activity(Duration now) {
        Duration gap = now.minus(lastCall);
        lastCall = now;
        if (gap.compareTo(MIN_PAUSE) <= 0) {
            return Duration.ZERO;
        }
        backlogDelay = now.compareTo(backlogUntil) < 0 ? backlogDelay.plus(gap) : gap;
        backlogUntil = now.plus(BACKLOG_PERIOD);
        return gap;
    }

    /** Returns the maximum time that a message read now may have waited in this process's buffers. */
    Duration possibleBufferingDelay(Duration now) {
        return now.compareTo(backlogUntil) < 0 ? backlogDelay : Duration.ZERO;
    }
}
