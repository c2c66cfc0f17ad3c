package merlinlever.host.run;

import java.time.Duration;
import java.util.Optional;

/** Detects pauses of the agent process by the time between its periodic runs. */
final class PauseDetector {

    /** A longer time between two runs is a pause. */
    private static final Duration MAX_GAP = Duration.ofSeconds(2);
    /** Time after a pause in which received input may have been sent during the pause. */
    private static final Duration STALE_INPUT_PERIOD = Duration.ofMillis(500);

    /** Null before the first run. */
    private Duration lastRun;

    private Duration staleInputUntil = Duration.ZERO;

    /** Records a periodic run. Returns the duration of the preceding pause, or empty without a pause. */
    Optional<Duration> recordRun(Duration now) {
        Optional<Duration> pause = isPaused(now) ? Optional.of(now.minus(lastRun)) : Optional.empty();
        if (pause.isPresent()) {
            staleInputUntil = now.plus(STALE_INPUT_PERIOD);
        }
        lastRun = now;
        return pause;
    }

    /** Returns whether input read now may have been sent during a pause, and may have timed out at its sender. */
    boolean mayInputBeStale(Duration now) {
        return isPaused(now) || now.compareTo(staleInputUntil) < 0;
    }

    private boolean isPaused(Duration now) {
        return lastRun != null && now.minus(lastRun).compareTo(MAX_GAP) > 0;
    }
}
