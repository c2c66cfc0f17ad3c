package merlinlever.host.state;

import java.time.Duration;

/**
 * When an {@link InstanceSupervisor} restarts a process, and when it takes it for unreachable.
 *
 * @param initialBackoff the wait before the first restart after a crash; doubled with each further crash
 * @param maxBackoff the longest wait between a crash and the restart
 * @param stableAfter a process that ran this long resets the backoff to the initial one
 * @param maxRestarts crashes within the restart window after which the instance is given up
 * @param restartWindow the time for which a crash counts
 * @param statusTimeout without a status report for this long an instance is unreached
 */
public record SupervisorSettings(
        Duration initialBackoff,
        Duration maxBackoff,
        Duration stableAfter,
        int maxRestarts,
        Duration restartWindow,
        Duration statusTimeout) {

    private static final int DEFAULT_MAX_RESTARTS = 5;

    /** What holds for settings that a configuration does not name. */
    public static final SupervisorSettings DEFAULTS = new SupervisorSettings(
            Duration.ofMillis(200),
            Duration.ofSeconds(30),
            Duration.ofSeconds(60),
            DEFAULT_MAX_RESTARTS,
            Duration.ofMinutes(10),
            Duration.ofMillis(2500));
}
