package merlinlever.policy;

import java.time.Duration;
import java.util.OptionalDouble;
import merlinlever.common.Durations;
import merlinlever.controller.Decision;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;

/** Decides the backpressure signal for callers and the timeout after which idle connections are closed. */
final class BackpressureSignals {
    // At a higher level too few requests arrive for callers to receive updates of the level, and callers
    // resume at the same time.
    private static final double MAX_LEVEL = 0.6;
    // Changes of the level per update.
    private static final double LEVEL_RISE = 0.04;
    private static final double LEVEL_FALL = 0.01;
    // Smallest change of the level that is sent to callers.
    private static final double LEVEL_STEP = 0.02;
    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);
    // Age above which the average occupancy, which only arrivals update, is out of date.
    private static final Duration MAX_AVERAGE_AGE = Duration.ofMillis(300);
    // Number of callers per core above which idle connections are closed early; also the number of servers
    // above which a fleet counts as large.
    static final double MANY_CLIENTS = 16;
    // Factors of the idle timeout at each update: with a free core, and without one.
    private static final double IDLE_TIMEOUT_DECREASE = 0.94;
    private static final double IDLE_TIMEOUT_INCREASE = 1.02;
    // Divisors of the configured idle timeout that give the initial and the shortest idle timeout.
    private static final double INITIAL_TIMEOUT_DIVISOR = 10;
    private static final double MIN_TIMEOUT_DIVISOR = 30;
    // Smallest relative change of the idle timeout that is announced.
    private static final double IDLE_TIMEOUT_STEP = 0.1;

    private final ServerState server;
    private final BackpressureSignal signal;
    private final double maxTimeoutMs;
    private final double callerCount;
    private double idleTimeoutMs;
    private double announcedTimeoutMs;
    private double level;
    private double announcedLevel;
    private Duration nextUpdateAt = Duration.ZERO;

    BackpressureSignals(ServerState server, ControllerSettings settings) {
        this.server = server;
        signal = settings.deployment().signal();
        maxTimeoutMs = Durations.toMillis(settings.callers().idleTimeout());
        idleTimeoutMs = maxTimeoutMs / INITIAL_TIMEOUT_DIVISOR;
        callerCount = settings.callers().callers();
    }

    /** Returns the fraction of their requests that callers are asked to hold back. */
    double level() {
        return level;
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
        // Only arrivals update the average occupancy; without recent arrivals the queue length is used.
        boolean averageOutdated =
                Durations.isReached(now, server.admissionControl().averagedAt().plus(MAX_AVERAGE_AGE));
        double occupancy = averageOutdated
                ? server.queuedCount() / server.capacity().queueCapacity()
                : server.admissionControl().averageOccupancy();
        double excess = AdmissionControl.thresholdExcess(occupancy);
        level += excess > 0 ? LEVEL_RISE * Math.min(1, excess) : -LEVEL_FALL;
        level = Math.max(0, Math.min(MAX_LEVEL, level));
        if (Math.abs(level - announcedLevel) >= LEVEL_STEP || (level == 0 && announcedLevel > 0)) {
            announcedLevel = level;
            signalValue().ifPresent(value -> server.addDecision(new Decision.SendBackpressure(value)));
        }
    }

    private OptionalDouble signalValue() {
        double concurrency = server.cores() + server.capacity().queueCapacity();
        return switch (signal) {
            case LEVEL -> OptionalDouble.of(level);
            case WEIGHT -> OptionalDouble.of(1 - level);
            case CREDIT -> OptionalDouble.of(2 * (1 - level) * concurrency / callerCount);
            case NONE -> OptionalDouble.empty();
        };
    }

    // With many callers, idle connections fill the connection table and leave no room for other callers.
    // Accepting a new connection costs CPU time, while a full table rejects callers at no cost. Idle
    // connections are therefore closed earlier while a core is free, and kept longer while all are busy.
    private void updateIdleTimeout() {
        if (callerCount > MANY_CLIENTS * server.cores()) {
            boolean hasFreeCore = server.runQueue().lastSample() < server.cores();
            double adjustedMs = idleTimeoutMs * (hasFreeCore ? IDLE_TIMEOUT_DECREASE : IDLE_TIMEOUT_INCREASE);
            idleTimeoutMs = Math.max(maxTimeoutMs / MIN_TIMEOUT_DIVISOR, Math.min(maxTimeoutMs, adjustedMs));
            if (Math.abs(idleTimeoutMs / announcedTimeoutMs - 1) > IDLE_TIMEOUT_STEP) {
                announcedTimeoutMs = idleTimeoutMs;
                server.addDecision(new Decision.CloseIdleConnections(Durations.ofMillis(idleTimeoutMs)));
            }
        }
    }
}
