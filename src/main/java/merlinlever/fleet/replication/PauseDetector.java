package merlinlever.fleet.replication;

import java.time.Duration;

/**
 * Notices that this process was paused, as it was not called for longer than messages normally take. What is read right after a pause may
 * have waited in this process's own buffers for as long as the pause lasted.
 */
final class PauseDetector {

    /** Calls further apart than this count as a pause. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(2);
    /** What is read for so long after a pause may have been buffered during it. */
    private static final Duration BACKLOG_PERIOD = Duration.ofSeconds(1);

    private Duration lastCall;
    private Duration backlogDelay = Duration.ZERO;
    private Duration backlogUntil = Duration.ZERO;

    PauseDetector(Duration now) {
        lastCall = now;
    }

    /** Is called on every activity; returns how long this process was paused before it, or zero. */
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

    /** How long a message that is read now may have waited in this process's buffers. */
    Duration possibleBufferingDelay(Duration now) {
        return now.compareTo(backlogUntil) < 0 ? backlogDelay : Duration.ZERO;
    }
}
