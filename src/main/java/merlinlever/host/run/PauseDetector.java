package merlinlever.host.run;

import java.time.Duration;
import java.util.Optional;

/** Notices that the agent itself was stopped or held up for a while, by the time between its periodic runs. */
final class PauseDetector {

    /** Without a run for longer than this, the agent was paused. */
    private static final Duration MAX_GAP = Duration.ofSeconds(2);
    /** What is read this long after a pause may have been sent during it. */
    private static final Duration STALE_INPUT_PERIOD = Duration.ofMillis(500);

    /** Null before the first run. */
    private Duration lastRun;

    private Duration staleInputUntil = Duration.ZERO;

    /** Records a periodic run, and returns the length of the pause that it ended, if there was one. */
    Optional<Duration> run(Duration now) {
        Optional<Duration> pause = isPaused(now) ? Optional.of(now.minus(lastRun)) : Optional.empty();
        if (pause.isPresent()) {
            staleInputUntil = now.plus(STALE_INPUT_PERIOD);
        }
        lastRun = now;
        return pause;
    }

    /** Whether what is read now may have been sent during a pause, and its sender have given it up. */
    boolean mayInputBeStale(Duration now) {
        return isPaused(now) || now.compareTo(staleInputUntil) < 0;
    }

    private boolean isPaused(Duration now) {
        return lastRun != null && now.minus(lastRun).compareTo(MAX_GAP) > 0;
    }
}
