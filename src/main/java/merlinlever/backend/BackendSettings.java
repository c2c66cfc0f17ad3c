package merlinlever.backend;

import java.time.Duration;
import java.util.Map;
import merlinlever.common.Durations;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RunStopping;
import merlinlever.driver.ControllerDriver;

/** The settings that the backend reads itself, and the settings that the backend passes to the controller. */
final class BackendSettings {

    /** Maximum number of retained requests, each with its body and result, that fit into the process's memory. */
    private static final int MAX_RETAINED_REQUESTS = 4000;
    /** The memory assumed for retained requests if the settings have no memory limit. */
    private static final double UNLIMITED_MEMORY_KB = 100_000;
    /**
     * Lower bound of {@link #maxReadDelay}. A request with a longer read delay, also longer than every client timeout,
     * has a wrong arrival time.
     */
    private static final Duration MIN_PLAUSIBLE_READ_DELAY = Duration.ofSeconds(30);

    private final ControllerSettings settings;
    private final Map<String, Integer> priorityClassIndexes;
    private final Duration maxReadDelay;

    BackendSettings(ControllerSettings settings) {
        priorityClassIndexes = ControllerDriver.priorityClassIndexes(settings);
        maxReadDelay = longestClientTimeout(settings);
        // Expresses MAX_RETAINED_REQUESTS as memory per key: the controller rejects requests that exceed the memory.
        double minimumKb = settings.server().memoryKb().orElse(UNLIMITED_MEMORY_KB) / MAX_RETAINED_REQUESTS;
        this.settings = settings.toBuilder()
                .memoryPerKeyKb(Math.max(minimumKb, settings.server().memoryPerKeyKb()))
                .build();
    }

    private static Duration longestClientTimeout(ControllerSettings settings) {
        Duration longest = MIN_PLAUSIBLE_READ_DELAY;
        for (PriorityClassSettings priorityClass : settings.priorityClasses()) {
            longest = Durations.later(longest, priorityClass.clientTimeout());
        }
        return longest;
    }

    /** Returns the controller's settings for use before the agent is up. */
    ControllerSettings forController() {
        return settings;
    }

    /** Returns the controller's settings, given whether the agent process has just started. */
    ControllerSettings forController(boolean warmingUp) {
        return settings.toBuilder().cold(warmingUp).build();
    }

    /** Returns the index of the priority class with the name, or -1 if there is none. */
    int priorityClassIndex(String name) {
        return priorityClassIndexes.getOrDefault(name, -1);
    }

    /** Returns the longest plausible time between the arrival of a request and its being read. */
    Duration maxReadDelay() {
        return maxReadDelay;
    }

    /** Returns the index of the run queue among the agent's metrics, or -1 if the run queue is not reported. */
    int runQueueIndex() {
        return settings.server().runQueueIndex();
    }

    /** Returns whether requests of the class may run any number of times. */
    boolean isIdempotent(int priorityClass) {
        return settings.priorityClasses().get(priorityClass).isIdempotent();
    }

    /** Returns whether a run of the class may be stopped, which discards it, and be launched again. */
    boolean canRestartRuns(int priorityClass) {
        return isIdempotent(priorityClass) && settings.deployment().runStopping() == RunStopping.DROP;
    }

    /** Returns whether requests of the class with the same subject may share a result. */
    boolean sharesReads(int priorityClass) {
        // Only idempotent requests are reads; the subject of a write identifies no result that could be shared.
        boolean freshReadsShared = !settings.callers().maxOutcomeAge().isZero();
        return freshReadsShared && isIdempotent(priorityClass);
    }
}
