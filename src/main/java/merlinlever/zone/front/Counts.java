package merlinlever.zone.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** What the front counts: messages by kind and end. */
public final class Counts {

    private static final int KINDS = Asked.Kind.values().length;
    private static final int CODES = 16;

    private final Counter[] taken = new Counter[KINDS];
    private final Counter[] satisfied = new Counter[KINDS];
    private final Counter[] pushedBack = new Counter[KINDS];
    private final Counter[] brokenOff = new Counter[KINDS];
    private final Counter[] told = new Counter[CODES];
    private final Counter malformed;
    private final Counter dropped;
    private boolean healthy = true;

    public Counts(MeterRegistry registry) {
        for (Asked.Kind kind : Asked.Kind.values()) {
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

    void taken(Asked.Kind kind) {
        taken[kind.ordinal()].increment();
    }

    void satisfied(Asked.Kind kind) {
        satisfied[kind.ordinal()].increment();
    }

    void pushedBack(Asked.Kind kind) {
        pushedBack[kind.ordinal()].increment();
    }

    void brokenOff(Asked.Kind kind) {
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
        for (Asked.Kind kind : Asked.Kind.values()) {
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
