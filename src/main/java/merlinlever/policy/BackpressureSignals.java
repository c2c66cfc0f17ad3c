package merlinlever.policy;

import java.time.Duration;
import java.util.OptionalDouble;
import merlinlever.common.Durations;
import merlinlever.controller.Decision;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;

/** Decides what callers are sent unasked: a signal to hold back, and when idle connections are closed. */
final class BackpressureSignals {
    // Above this level callers are heard too little to go on learning it, and come back all at once.
    private static final double MAX_LEVEL = 0.6;
    private static final double LEVEL_RISE = 0.04;
    private static final double LEVEL_FALL = 0.01;
    private static final double LEVEL_STEP = 0.02;
    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);
    // Without an arrival for this long the average occupancy says nothing of the present.
    private static final Duration MAX_AVERAGE_AGE = Duration.ofMillis(300);
    // Callers a core from which on idle connections are closed early; servers that make a fleet large.
    static final double MANY = 16;
    // Factors of the idle timeout at each update, with a core free and with none.
    private static final double TIMEOUT_DECREASE = 0.94;
    private static final double TIMEOUT_INCREASE = 1.02;
    // The first idle timeout and the shortest one, as divisors of the configured one.
    private static final double INITIAL_TIMEOUT_DIVISOR = 10;
    private static final double MIN_TIMEOUT_DIVISOR = 30;
    // Relative change of the idle timeout that is worth a decision.
    private static final double TIMEOUT_STEP = 0.1;

    private final ServerState server;
    private final BackpressureSignal signal;
    private final double maxIdleMs;
    private final double callers;
    private double idleTimeoutMs;
    private double announcedIdleMs;
    /** What callers are asked to hold back; written here alone. */
    double level;

    private double announcedLevel;
    private Duration nextUpdateAt = Duration.ZERO;

    BackpressureSignals(ServerState server, ControllerSettings settings) {
        this.server = server;
        signal = settings.deployment().signal();
        maxIdleMs = Durations.toMillis(settings.callers().idleTimeout());
        idleTimeoutMs = maxIdleMs / INITIAL_TIMEOUT_DIVISOR;
        callers = settings.callers().callers();
    }

    void update(Duration now) {
        if (!Durations.isReached(now, nextUpdateAt)) {
            return;
        }
        nextUpdateAt = now.plus(UPDATE_INTERVAL);
        updateIdleTimeout();
        if (signal != BackpressureSignal.NONE) {
            updateLevel(now);
        }
    }

    private void updateLevel(Duration now) {
        // The average changes with arrivals only: without any for a while, the queue itself counts.
        boolean outdated = Durations.isReached(now, server.admissionControl.averagedAt.plus(MAX_AVERAGE_AGE));
        double occupancy = outdated
                ? server.queuedCount() / server.capacity.queueCapacity()
                : server.admissionControl.averageOccupancy;
        double excess = AdmissionControl.thresholdExcess(occupancy);
        level += excess > 0 ? LEVEL_RISE * Math.min(1, excess) : -LEVEL_FALL;
        level = Math.max(0, Math.min(MAX_LEVEL, level));
        if (Math.abs(level - announcedLevel) >= LEVEL_STEP || (level == 0 && announcedLevel > 0)) {
            announcedLevel = level;
            signalValue().ifPresent(value -> server.decided(new Decision.SendBackpressure(value)));
        }
    }

    private OptionalDouble signalValue() {
        double concurrency = server.cores + server.capacity.queueCapacity();
        return switch (signal) {
            case LEVEL -> OptionalDouble.of(level);
            case WEIGHT -> OptionalDouble.of(1 - level);
            case CREDIT -> OptionalDouble.of(2 * (1 - level) * concurrency / callers);
            case NONE -> OptionalDouble.empty();
        };
    }

    // With many callers, idle connections fill the table, take capacity and leave no room for the next; each
    // new one costs work, and a full table rejects callers at no cost. So they are closed the sooner the more
    // often a core is free, and kept while the cores are full.
    private void updateIdleTimeout() {
        if (callers > MANY * server.cores) {
            boolean freeCore = server.runQueue.lastSample() < server.cores;
            double wantedMs = idleTimeoutMs * (freeCore ? TIMEOUT_DECREASE : TIMEOUT_INCREASE);
            idleTimeoutMs = Math.max(maxIdleMs / MIN_TIMEOUT_DIVISOR, Math.min(maxIdleMs, wantedMs));
            if (Math.abs(idleTimeoutMs / announcedIdleMs - 1) > TIMEOUT_STEP) {
                announcedIdleMs = idleTimeoutMs;
                server.decided(new Decision.CloseIdleConnections(Durations.ofMillis(idleTimeoutMs)));
            }
        }
    }
}
