package merlinlever.zone.server;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** What the front counts: messages by kind and end. */
public final class ZoneServerMetrics {

    private static final int KINDS = PendingMessage.MessageKind.values().length;
    private static final int CODES = 16;

    private final Counter[] taken = new Counter[KINDS];
    private final Counter[] satisfied = new Counter[KINDS];
    private final Counter[] pushedBack = new Counter[KINDS];
    private final Counter[] brokenOff = new Counter[KINDS];
    private final Counter[] told = new Counter[CODES];
    private final Counter malformed;
    private final Counter dropped;
    private boolean healthy = true;

    public ZoneServerMetrics(MeterRegistry registry) {
        for (PendingMessage.MessageKind kind : PendingMessage.MessageKind.values()) {
            String name = kind.wireName();
            taken[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "taken");
            satisfied[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "satisfied");
            pushedBack[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "pushed-back");
            brokenOff[kind.ordinal()] = registry.counter("zone.operations", "kind", name, "end", "broken-off");
        }
        for (int code = 0; code < CODES; code++) {
            told[code] = registry.counter("zone.answered.at.the.door", "code", org.xbill.DNS.Rcode.string(code));
        }
        malformed = registry.counter("zone.malformed");
        dropped = registry.counter("zone.dropped");
    }

    void taken(PendingMessage.MessageKind kind) {
        taken[kind.ordinal()].increment();
    }

    void satisfied(PendingMessage.MessageKind kind) {
        satisfied[kind.ordinal()].increment();
    }

    void pushedBack(PendingMessage.MessageKind kind) {
        pushedBack[kind.ordinal()].increment();
    }

    void brokenOff(PendingMessage.MessageKind kind) {
        brokenOff[kind.ordinal()].increment();
    }

    void told(int code) {
        told[code & CODES - 1].increment();
    }

    void malformed() {
        malformed.increment();
    }

    void dropped() {
        dropped.increment();
    }

    void healthy(boolean good) {
        healthy = good;
    }

    boolean healthy() {
        return healthy;
    }

    /** One line about all of it. */
    public String line() {
        StringBuilder line = new StringBuilder();
        for (PendingMessage.MessageKind kind : PendingMessage.MessageKind.values()) {
            int i = kind.ordinal();
            line.append(String.format(
                    java.util.Locale.ROOT,
                    "%s %.0f (satisfied %.0f, pushed back %.0f, broken off %.0f), ",
                    kind.wireName(),
                    taken[i].count(),
                    satisfied[i].count(),
                    pushedBack[i].count(),
                    brokenOff[i].count()));
        }
        return line.append(String.format(
                        java.util.Locale.ROOT, "malformed %.0f, dropped %.0f", malformed.count(), dropped.count()))
                .toString();
    }
}
