package merlinlever.dns.server;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.dns.server.PendingMessage.MessageKind;

/** Settings of the overload controller for a DNS server, with one priority class per kind of message. */
final class DnsControllerSettings {

    /** Maximum number of messages started between two decisions of the controller. */
    static final int MAX_STARTS_PER_DECISION = 16;

    /** Memory in KiB for one remembered update and its duplicates. */
    private static final double KB_PER_UPDATE = 0.5;

    private static final int KB_PER_MB = 1024;

    /** Exceeds 1 because updates and transfers wait for the disk or the peer without using a core. */
    private static final int IN_FLIGHT_PER_CORE = 8;

    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    /** Fraction of the priority weight that applies to a response after the latency objective. */
    private static final double LATE_WEIGHT = 0.2;

    private static final double QUERY_WEIGHT = 1;
    private static final double TRANSFER_WEIGHT = 2;
    private static final double UPDATE_WEIGHT = 8;

    private static final Duration QUERY_LATENCY_OBJECTIVE = Duration.ofMillis(500);
    private static final Duration UPDATE_CLIENT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration TRANSFER_LATENCY_OBJECTIVE = Duration.ofSeconds(5);

    private DnsControllerSettings() {}

    /**
     * Returns the settings, with the priority classes in the order of {@link MessageKind}.
     *
     * @param memoryMb the memory limit for messages in flight and remembered updates, in MiB
     * @param drainGrace the period after the start of a drain in which new messages are still admitted
     */
    static ControllerSettings of(double memoryMb, Duration drainGrace) {
        ControllerSettings.Builder settings = ControllerSettings.builder()
                .cores(MAX_STARTS_PER_DECISION)
                .gauges(List.of(Gauge.RUN_QUEUE))
                .memoryKb(memoryMb * KB_PER_MB)
                .runMemoryFactor(1)
                .memoryPerKeyKb(KB_PER_UPDATE)
                .drainGrace(Duration.ofMillis(drainGrace.toMillis()))
                .overloadFactor(IN_FLIGHT_PER_CORE)
                .maxReadDelay(Duration.ZERO)
                .maxRetryAfter(MAX_RETRY_AFTER);
        for (MessageKind kind : MessageKind.values()) {
            settings.addPriorityClass(priorityClass(kind).lateWeight(LATE_WEIGHT));
        }
        return settings.build();
    }

    private static PriorityClassSettings.Builder priorityClass(MessageKind kind) {
        PriorityClassSettings.Builder priorityClass =
                PriorityClassSettings.named(kind.wireName().toUpperCase(Locale.ROOT));
        return switch (kind) {
            case QUERY -> priorityClass
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .weight(QUERY_WEIGHT)
                    .latencyObjective(QUERY_LATENCY_OBJECTIVE)
                    .clientTimeout(Duration.ofSeconds(2))
                    .idempotencyWindow(Duration.ZERO);
            case UPDATE -> priorityClass
                    .semantics(RequestSemantics.IDEMPOTENT_BY_KEY)
                    .weight(UPDATE_WEIGHT)
                    .latencyObjective(Duration.ofSeconds(2))
                    .clientTimeout(UPDATE_CLIENT_TIMEOUT)
                    .idempotencyWindow(RequestProcessor.REPLAY_WINDOW);
            case TRANSFER -> priorityClass
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .weight(TRANSFER_WEIGHT)
                    .latencyObjective(TRANSFER_LATENCY_OBJECTIVE)
                    .clientTimeout(Duration.ofMinutes(1))
                    .idempotencyWindow(Duration.ZERO);
        };
    }
}
