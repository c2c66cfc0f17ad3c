package merlinlever.policy;

import static merlinlever.common.Durations.toMillis;

import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.WarmUpSettings;

/**
 * Estimates the server's throughput from its completed requests, and limits the concurrency and the memory to
 * what the server can sustain (safety rule 4).
 */
final class CapacityEstimator {
    // Number of completions above which the accumulated counts are halved, so that old ones lose weight.
    private static final double MAX_COMPLETIONS = 32;
    // Fractions of the sustainable concurrency and of the memory limit that are used.
    private static final double CONCURRENCY_FRACTION = 0.75;
    private static final double MEMORY_FRACTION = 0.92;

    private final ServerState server;
    private final double coldSpeed;
    private final double warmUpMs;
    private final double overloadFactor;
    private final double memoryKb;
    private double completions;
    private double busyMs;

    CapacityEstimator(ServerState server, ControllerSettings settings) {
        this.server = server;
        WarmUpSettings warmUp = settings.warmUp();
        coldSpeed = warmUp.cold() ? warmUp.coldSpeed() : 1;
        warmUpMs = Math.max(1, toMillis(warmUp.duration()));
        overloadFactor = settings.safety().overloadFactor();
        memoryKb = settings.server().memoryLimitKb();
    }

    void accrueBusyTime(double elapsedMs) {
        busyMs += elapsedMs * Math.min(server.onCoreCount(), server.cores());
    }

    void recordCompletion() {
        if (++completions > MAX_COMPLETIONS) {
            completions /= 2;
            busyMs /= 2;
        }
    }

    /** Sets an initial estimate from another source, unless this server has completed requests already. */
    void setWarmStartEstimate(double capacity, double estimateCompletions) {
        if (completions < 1 && capacity > 0) {
            completions = estimateCompletions;
            busyMs = estimateCompletions * server.cores() * server.objectiveMs() / capacity;
        }
    }

    /**
     * Returns how many requests all cores complete within the shortest latency objective, at least one per
     * core. The rate is per busy time; a rate per elapsed time would underestimate a lightly loaded server.
     */
    double queueCapacity() {
        double estimate = completions * server.cores() * server.objectiveMs() / busyMs;
        return Math.max(server.cores(), completions < 1 ? 0 : estimate);
    }

    /** Returns the lower bound of the server's current speed, as a fraction of its full speed. */
    double speedFraction() {
        return Math.min(1, coldSpeed + (1 - coldSpeed) * toMillis(server.now()) / warmUpMs);
    }

    /** Returns how many started requests the server can sustain, with a margin. */
    double safeConcurrency() {
        double maxStartedPerCore = 1 + (overloadFactor - 1) * speedFraction();
        return Math.max(server.cores(), CONCURRENCY_FRACTION * server.cores() * maxStartedPerCore);
    }

    boolean hasMemoryFor(double additionalKb) {
        return server.usedMemoryKb() + additionalKb <= MEMORY_FRACTION * memoryKb;
    }
}
