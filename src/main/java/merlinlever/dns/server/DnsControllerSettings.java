package merlinlever.dns.server;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import merlinlever.dns.server.PendingMessage.MessageKind;

/** The overload controller's settings for a DNS server: one priority class for each kind of message. */
final class DnsControllerSettings {

    /** Messages started in one turn; the controller decides again after each turn. */
    static final int MAX_STARTS_PER_TURN = 16;

    /** Memory that remembering one update takes, with its duplicates, in KiB. */
    private static final double KB_PER_UPDATE = 0.5;

    private static final int KB_PER_MB = 1024;

    /** Updates and transfers wait for the disk or a reader without using a core, so many may be in flight. */
    private static final int IN_FLIGHT_PER_CORE = 8;

    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    /** The part of its priority weight that a message keeps when it is answered after its latency objective. */
    private static final double LATE_WEIGHT = 0.2;

    private static final PriorityClass QUERY_CLASS =
            new PriorityClass("retriable", 1, Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ZERO);

    private static final PriorityClass UPDATE_CLASS = new PriorityClass(
            "fingerprinted", 8, Duration.ofSeconds(2), Duration.ofSeconds(5), RequestProcessor.REPLAY_WINDOW);

    private static final PriorityClass TRANSFER_CLASS =
            new PriorityClass("retriable", 2, Duration.ofSeconds(5), Duration.ofMinutes(1), Duration.ZERO);

    /**
     * The settings of one priority class.
     *
     * @param semantics what a second execution would do, as the controller's setting names it
     * @param idempotencyWindow for which an outcome is kept for duplicates
     */
    private record PriorityClass(
            String semantics, int weight, Duration latencyObjective, Duration deadline, Duration idempotencyWindow) {}

    private DnsControllerSettings() {}

    /**
     * The settings by their names.
     *
     * @param memoryMb that messages in flight and remembered updates may take, in MiB
     * @param drainGrace after the start of a drain in which new messages are still admitted
     */
    static Map<String, String> of(double memoryMb, Duration drainGrace) {
        Map<String, String> settings = new HashMap<>();
        settings.put("server.cores", "" + MAX_STARTS_PER_TURN);
        settings.put("server.gauges", "run-queue");
        settings.put("server.memory-kb", "" + memoryMb * KB_PER_MB);
        settings.put("server.run-factor", "1");
        settings.put("server.kb-per-fingerprint", "" + KB_PER_UPDATE);
        settings.put("rules.drain-grace", "" + drainGrace.toMillis());
        settings.put("rules.crowd-factor", "" + IN_FLIGHT_PER_CORE);
        settings.put("rules.longest-unread", "0");
        settings.put("limits.stay-away", "true");
        settings.put("limits.longest-stay-away", "" + MAX_RETRY_AFTER.toMillis());
        putClass(settings, MessageKind.QUERY, QUERY_CLASS);
        putClass(settings, MessageKind.UPDATE, UPDATE_CLASS);
        putClass(settings, MessageKind.TRANSFER, TRANSFER_CLASS);
        return settings;
    }

    private static void putClass(Map<String, String> settings, MessageKind kind, PriorityClass priorityClass) {
        String prefix = "tariffs." + kind.ordinal() + ".";
        settings.put(prefix + "name", kind.wireName().toUpperCase(Locale.ROOT));
        settings.put(prefix + "kind", priorityClass.semantics);
        settings.put(prefix + "value", "" + priorityClass.weight);
        settings.put(prefix + "soft-limit", "" + priorityClass.latencyObjective.toMillis());
        settings.put(prefix + "client-timeout", "" + priorityClass.deadline.toMillis());
        settings.put(prefix + "late-value", "" + LATE_WEIGHT);
        settings.put(prefix + "window", "" + priorityClass.idempotencyWindow.toMillis());
    }
}
