package merlinlever.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.Durations;
import merlinlever.controller.settings.SettingNames;
import merlinlever.controller.settings.SettingsTranslator;
import merlinlever.driver.ControllerDriver;

/** The settings that the backend itself reads, and those that it gives to its controller. */
final class BackendSettings {

    /** The retained requests, with body and result, that the memory of this process is planned for. */
    private static final int MAX_RETAINED_REQUESTS = 4000;
    /** A request that claims to have waited longer, and longer than any caller waits, has a wrong arrival time. */
    private static final Duration MIN_PLAUSIBLE_READ_DELAY = Duration.ofSeconds(30);

    private static final String MEMORY_PER_KEY_KB = "server.kb-per-fingerprint";

    private final Map<String, String> settings;
    private final Map<String, Integer> priorityClassIndexes;
    private final Duration maxReadDelay;
    private final boolean freshReadsShared;

    BackendSettings(Map<String, String> settings) {
        this.settings = new HashMap<>(settings);
        priorityClassIndexes = ControllerDriver.priorityClassIndexes(settings);
        maxReadDelay = longestClientTimeout();
        freshReadsShared = number("server.fresh-for", 0) > 0;
        // The limit of this process in terms of the controller, which rejects what there is no memory to remember.
        double minimum = number("server.memory-kb", 100_000) / MAX_RETAINED_REQUESTS;
        this.settings.put(MEMORY_PER_KEY_KB, "" + Math.max(minimum, number(MEMORY_PER_KEY_KB, 0)));
    }

    private Duration longestClientTimeout() {
        Duration longest = MIN_PLAUSIBLE_READ_DELAY;
        for (int i = 0; i < priorityClassIndexes.size(); i++) {
            double clientTimeoutMs = number(SettingNames.ofPriorityClass(i, "client-timeout"), 0);
            longest = Durations.later(longest, Durations.ofMillis(clientTimeoutMs));
        }
        return longest;
    }

    private double number(String name, double absent) {
        return SettingsTranslator.number(settings, name, absent);
    }

    /** The settings of the controller, before it is known whether the agent has just started. */
    Map<String, String> forController() {
        return new HashMap<>(settings);
    }

    /** The settings of the controller. */
    Map<String, String> forController(boolean warmingUp) {
        Map<String, String> complete = forController();
        complete.put("server.cold", "" + warmingUp);
        return complete;
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
        return List.of(settings.getOrDefault("server.gauges", "").split(",")).indexOf("run-queue");
    }

    /** Whether requests of the class that read the same subject may share a result. */
    boolean sharesReads(int priorityClass) {
        // Only what is idempotent is a read; a subject that comes with anything else stands for no result to share.
        return freshReadsShared
                && SettingNames.IDEMPOTENT.equals(settings.get(SettingNames.ofPriorityClass(priorityClass, "kind")));
    }
}
