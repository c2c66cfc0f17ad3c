package merlinlever.dns.server;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
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

    private static final double QUERY_WEIGHT = 1;
    private static final double TRANSFER_WEIGHT = 2;
    private static final double UPDATE_WEIGHT = 8;

    private DnsControllerSettings() {}

    /**
     * The settings, with the priority classes in the order of {@link MessageKind}.
     *
     * @param memoryMb that messages in flight and remembered updates may take, in MiB
     * @param drainGrace after the start of a drain in which new messages are still admitted
     */
    static ControllerSettings of(double memoryMb, Duration drainGrace) {
        ControllerSettings.Builder settings = ControllerSettings.builder()
                .cores(MAX_STARTS_PER_TURN)
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
                    .latencyObjective(Duration.ofMillis(500))
                    .clientTimeout(Duration.ofSeconds(2))
                    .idempotencyWindow(Duration.ZERO);
            case UPDATE -> priorityClass
                    .semantics(RequestSemantics.IDEMPOTENT_BY_KEY)
                    .weight(UPDATE_WEIGHT)
                    .latencyObjective(Duration.ofSeconds(2))
                    .clientTimeout(Duration.ofSeconds(5))
                    .idempotencyWindow(RequestProcessor.REPLAY_WINDOW);
            case TRANSFER -> priorityClass
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .weight(TRANSFER_WEIGHT)
                    .latencyObjective(Duration.ofSeconds(5))
                    .clientTimeout(Duration.ofMinutes(1))
                    .idempotencyWindow(Duration.ZERO);
        };
    }
}
