package merlinlever.host.state;

import java.time.Duration;

/**
 * Settings of an {@link InstanceSupervisor}: restarts after a crash, and the timeout of status reports.
 *
 * @param initialBackoff delay before the first restart after a crash; doubled with each further crash
 * @param maxBackoff maximum delay between a crash and the restart
 * @param stableAfter run time of a process after which a crash starts again with the initial backoff
 * @param maxRestarts number of crashes within the restart window after which the instance is given up
 * @param restartWindow time for which a crash is counted
 * @param statusTimeout time without a status report after which an instance is unreachable
 */
public record SupervisorSettings(
        Duration initialBackoff,
        Duration maxBackoff,
        Duration stableAfter,
        int maxRestarts,
        Duration restartWindow,
        Duration statusTimeout) {

    private static final int DEFAULT_MAX_RESTARTS = 5;

    /** Default settings. */
    public static final SupervisorSettings DEFAULTS = new SupervisorSettings(
            Duration.ofMillis(200),
            Duration.ofSeconds(30),
            Duration.ofSeconds(60),
            DEFAULT_MAX_RESTARTS,
            Duration.ofMinutes(10),
            Duration.ofMillis(2500));
}
