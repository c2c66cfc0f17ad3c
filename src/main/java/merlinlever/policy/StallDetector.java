package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;

/** Decides whether the runs on the cores are stalled, and which health the server reports. */
final class StallDetector {
    // Stalled: no run made progress for this long, and for as many expected run times, more where few run.
    private static final double MIN_SILENCE_MS = 1000;
    private static final double RUN_TIMES = 2;
    private static final double RUN_TIMES_ALONE = 6;

    private final ServerState server;
    private Duration lastProgressAt = Duration.ZERO;
    private boolean stalled;

    StallDetector(ServerState server) {
        this.server = server;
    }

    /** Whether no run makes progress. */
    boolean isStalled() {
        return stalled;
    }

    void recordProgress(Duration now) {
        lastProgressAt = now;
    }

    void check(Duration now) {
        // One long run is no stall: the fewer run, the longer they may be silent; cold cores are slower.
        double longestRunMs = server.priorityClasses().stream()
                .mapToDouble(priorityClass -> priorityClass.runTimes().meanMs())
                .max()
                .orElse(0);
        double runTimes = RUN_TIMES + RUN_TIMES_ALONE / Math.max(1, server.onCoreCount());
        Duration minSilence =
                Durations.ofMillis(MIN_SILENCE_MS / server.capacity().speedFraction());
        Duration patience = Durations.later(minSilence, Durations.ofMillis(longestRunMs * runTimes));
        boolean silent = Durations.isReached(now, lastProgressAt.plus(patience));
        if (stalled != (silent && server.onCoreCount() > 0)) {
            stalled = !stalled;
            server.logStall(stalled, now.minus(lastProgressAt));
        }
        server.reportHealth(!stalled && !server.drain().hasStarted());
    }
}
