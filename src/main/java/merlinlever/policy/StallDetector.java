package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;

/** Decides whether the runs on the cores are stalled, and reports the health of the server. */
final class StallDetector {
    // The runs are stalled after a time without progress of at least the minimum, and of the given number of
    // run times of the slowest class. The additional run times are divided by the number of runs.
    private static final double MIN_STALL_TIMEOUT_MS = 1000;
    private static final double MIN_RUN_TIMES = 2;
    private static final double ADDITIONAL_RUN_TIMES = 6;

    private final ServerState server;
    private Duration lastProgressAt = Duration.ZERO;
    private boolean stalled;

    StallDetector(ServerState server) {
        this.server = server;
    }

    /** Whether no run has made progress for too long. */
    boolean isStalled() {
        return stalled;
    }

    void recordProgress(Duration now) {
        lastProgressAt = now;
    }

    /** Returns the time without progress after which the runs are stalled. */
    Duration timeout() {
        // A single long run is not a stall: the timeout is longer with fewer runs, and on a cold server.
        double longestRunMs = server.priorityClasses().stream()
                .mapToDouble(priorityClass -> priorityClass.runTimes().meanMs())
                .max()
                .orElse(0);
        double runTimes = MIN_RUN_TIMES + ADDITIONAL_RUN_TIMES / Math.max(1, server.onCoreCount());
        Duration minTimeout =
                Durations.ofMillis(MIN_STALL_TIMEOUT_MS / server.capacity().speedFraction());
        return Durations.later(minTimeout, Durations.ofMillis(longestRunMs * runTimes));
    }

    void check(Duration now) {
        boolean timedOut = Durations.isReached(now, lastProgressAt.plus(timeout()));
        if (stalled != (timedOut && server.onCoreCount() > 0)) {
            stalled = !stalled;
            server.logStall(stalled, now.minus(lastProgressAt));
        }
        server.reportHealth(!stalled && !server.drain().hasStarted());
    }
}
