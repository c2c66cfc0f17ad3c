package merlinlever.policy;

import static merlinlever.Durations.toMillis;

import merlinlever.Settings;

/** What the server can do, as learned from what it did, and what it survives: rule 4, cold or warm. */
final class CapacityEstimator {
    // Completions that the capacity is learned from, at the most, before their weight is halved.
    private static final double ENOUGH = 32;
    // Part of the survivable crowd and of the memory that is used.
    private static final double CROWD = 0.75, MEMORY = 0.92;

    private final ServerState server;
    private final double coldShare, coldMs, crowdFactor, memoryKb;
    private double done, worked;

    CapacityEstimator(ServerState server, Settings given) {
        this.server = server;
        coldShare = given.flag("server.cold") ? given.number("rules.cold-share", 0.2) : 1;
        coldMs = Math.max(1, given.number("rules.cold", 1));
        crowdFactor = given.number("rules.crowd-factor", 2);
        memoryKb = given.number("server.memory-kb", 1e9);
    }

    void passes(double ms) {
        worked += ms * Math.min(server.onCores, server.cores);
    }

    void completed() {
        if (++done > ENOUGH) {
            done /= 2;
            worked /= 2;
        }
    }

    /** What is learned elsewhere, to begin with. */
    void guess(double capacity, double completions) {
        if (done < 1 && capacity > 0) {
            done = completions;
            worked = completions * server.cores * toMillis(server.span) / capacity;
        }
    }

    /**
     * The hold's capacity: the last completions over the busy time that they took, for one soft-limit span of
     * all cores, or a quiet server would take its few arrivals for all that it can do; never under the core
     * count. They reach further back than a span where fewer than half of ENOUGH end in one, as on two cores.
     */
    double hold() {
        return Math.max(server.cores, done < 1 ? 0 : done * server.cores * toMillis(server.span) / worked);
    }

    /** The part of its full speed that the server has at the least. */
    double speedShare() {
        return Math.min(1, coldShare + (1 - coldShare) * toMillis(server.clock) / coldMs);
    }

    double survivable() {
        return Math.max(server.cores, CROWD * server.cores * (1 + (crowdFactor - 1) * speedShare()));
    }

    boolean fits(double moreKb) {
        return server.usedKb + moreKb <= MEMORY * memoryKb;
    }
}
