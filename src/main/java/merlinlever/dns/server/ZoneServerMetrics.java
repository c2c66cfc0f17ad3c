package merlinlever.dns.server;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counts messages by kind and outcome. */
public final class ZoneServerMetrics {

    private static final int KINDS = PendingMessage.MessageKind.values().length;
    /** Number of response codes that a header can hold (RFC 1035 section 4.1.1). */
    private static final int CODES = 16;

    private final Counter[] accepted = new Counter[KINDS];
    private final Counter[] served = new Counter[KINDS];
    private final Counter[] rejected = new Counter[KINDS];
    private final Counter[] failed = new Counter[KINDS];
    private final Counter[] answeredByCode = new Counter[CODES];
    private final Counter malformed;
    private final Counter dropped;
    private boolean healthy = true;

    /** Registers the counters. */
    public ZoneServerMetrics(MeterRegistry registry) {
        for (PendingMessage.MessageKind kind : PendingMessage.MessageKind.values()) {
            String name = kind.wireName();
            accepted[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "taken");
            served[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "satisfied");
            rejected[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "pushed-back");
            failed[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "broken-off");
        }
        for (int code = 0; code < CODES; code++) {
            answeredByCode[code] =
                    registry.counter("zone.answered.at.the.door", "code", org.xbill.DNS.Rcode.string(code));
        }
        malformed = registry.counter("zone.malformed");
        dropped = registry.counter("zone.dropped");
    }

    void accepted(PendingMessage.MessageKind kind) {
        accepted[kind.ordinal()].increment();
    }

    void served(PendingMessage.MessageKind kind) {
        served[kind.ordinal()].increment();
    }

    void rejected(PendingMessage.MessageKind kind) {
        rejected[kind.ordinal()].increment();
    }

    void failed(PendingMessage.MessageKind kind) {
        failed[kind.ordinal()].increment();
    }

    void answeredWithCode(int code) {
        answeredByCode[code & CODES - 1].increment();
    }

    void malformed() {
        malformed.increment();
    }

    void dropped() {
        dropped.increment();
    }

    void healthy(boolean isHealthy) {
        healthy = isHealthy;
    }

    boolean healthy() {
        return healthy;
    }

    /** Returns all message counters except those by response code, as one line. */
    public String summary() {
        StringBuilder line = new StringBuilder();
        for (PendingMessage.MessageKind kind : PendingMessage.MessageKind.values()) {
            int i = kind.ordinal();
            line.append(String.format(
                    java.util.Locale.ROOT,
                    "%s %.0f (satisfied %.0f, pushed back %.0f, broken off %.0f), ",
                    kind.wireName(),
                    accepted[i].count(),
                    served[i].count(),
                    rejected[i].count(),
                    failed[i].count()));
        }
        return line.append(String.format(
                        java.util.Locale.ROOT, "malformed %.0f, dropped %.0f", malformed.count(), dropped.count()))
                .toString();
    }
}
