package merlinlever.policy;

import static merlinlever.common.Durations.toMillis;

import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.WarmUpSettings;

/** Estimates what the server can do from what it did, and limits it to what it survives: rule 4. */
final class CapacityEstimator {
    // Completions that the estimate rests on at most, before their weight is halved.
    private static final double MAX_COMPLETIONS = 32;
    // Fractions of the concurrency and of the memory that the server survives which are used.
    private static final double CONCURRENCY_USED = 0.75;
    private static final double MEMORY_USED = 0.92;

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
        busyMs += elapsedMs * Math.min(server.onCoreCount(), server.cores);
    }

    void recordCompletion() {
        if (++completions > MAX_COMPLETIONS) {
            completions /= 2;
            busyMs /= 2;
        }
    }

    /** Begins with an estimate from elsewhere, unless something was learned here. */
    void setWarmStartEstimate(double capacity, double estimateCompletions) {
        if (completions < 1 && capacity > 0) {
            completions = estimateCompletions;
            busyMs = estimateCompletions * server.cores * server.objectiveMs / capacity;
        }
    }

    /**
     * How many requests all cores complete in the shortest objective, at least one each; by busy time, or a
     * quiet server would take its few arrivals for all that it can do.
     */
    double queueCapacity() {
        double perBusyTime = completions * server.cores * server.objectiveMs / busyMs;
        return Math.max(server.cores, completions < 1 ? 0 : perBusyTime);
    }

    /** The fraction of its full speed that the server has at least. */
    double speedFraction() {
        return Math.min(1, coldSpeed + (1 - coldSpeed) * toMillis(server.now()) / warmUpMs);
    }

    /** How many started requests the server survives, with a margin. */
    double safeConcurrency() {
        double perCore = 1 + (overloadFactor - 1) * speedFraction();
        return Math.max(server.cores, CONCURRENCY_USED * server.cores * perCore);
    }

    boolean hasMemoryFor(double additionalKb) {
        return server.usedMemoryKb() + additionalKb <= MEMORY_USED * memoryKb;
    }
}
