package merlinlever.backend;

import java.time.Duration;
import java.util.Map;
import merlinlever.common.Durations;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.driver.ControllerDriver;

/** The settings that the backend itself reads, and those that it gives to its controller. */
final class BackendSettings {

    /** The retained requests, with body and result, that the memory of this process is planned for. */
    private static final int MAX_RETAINED_REQUESTS = 4000;
    /** The memory that retained requests are planned for where there is no limit of it. */
    private static final double UNLIMITED_MEMORY_KB = 100_000;
    /** A request that claims to have waited longer, and longer than any caller waits, has a wrong arrival time. */
    private static final Duration MIN_PLAUSIBLE_READ_DELAY = Duration.ofSeconds(30);

    private final ControllerSettings settings;
    private final Map<String, Integer> priorityClassIndexes;
    private final Duration maxReadDelay;

    BackendSettings(ControllerSettings settings) {
        priorityClassIndexes = ControllerDriver.priorityClassIndexes(settings);
        maxReadDelay = longestClientTimeout(settings);
        // The limit of this process in terms of the controller, which rejects what there is no memory to remember.
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

    /** The settings of the controller, before it is known whether the agent has just started. */
    ControllerSettings forController() {
        return settings;
    }

    /** The settings of the controller. */
    ControllerSettings forController(boolean warmingUp) {
        return settings.toBuilder().cold(warmingUp).build();
    }

    /** The index of the priority class of that name, or -1. */
    int priorityClassIndex(String name) {
        return priorityClassIndexes.getOrDefault(name, -1);
    }

    /** The longest time that a request can have waited to be read. */
    Duration maxReadDelay() {
        return maxReadDelay;
    }

    /** The place of the run queue among the agent's metrics, or -1 if it is not reported. */
    int runQueueIndex() {
        return settings.server().runQueueIndex();
    }

    /** Whether requests of the class that read the same subject may share a result. */
    boolean sharesReads(int priorityClass) {
        // Only what is idempotent is a read; a subject that comes with anything else stands for no result to share.
        boolean freshReadsShared = !settings.callers().maxOutcomeAge().isZero();
        return freshReadsShared && settings.priorityClasses().get(priorityClass).isIdempotent();
    }
}
