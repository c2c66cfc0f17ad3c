package merlinlever.policy;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import merlinlever.controller.settings.ControllerSettings;

/**
 * Decides which arrivals are queued and which rejected: by the safety rules, by whether the objective can be
 * met, then by random early detection weighted by priority class, after Nozoe et al. (docs/design.md).
 */
final class AdmissionControl {
    // The paper's w_q, min_th, max_th and max_p: weight of the latest occupancy in the average, thresholds of
    // the average above which some and all are rejected, and the base probability at the upper one.
    private static final double QUEUE_WEIGHT = 0.8;
    private static final double MIN_THRESHOLD = 0.3;
    private static final double MAX_THRESHOLD = 0.8;
    private static final double MAX_PROBABILITY = 0.4;
    // Coefficients of the classes of least and most weight; a class without weight has MIN_WEIGHT.
    private static final double LEAST_COEFFICIENT = 5.0;
    private static final double MOST_COEFFICIENT = 0.1;
    private static final double MIN_WEIGHT = 0.001;
    // A marked retry has less of its objective left than it says, and other servers were full as well.
    private static final double RETRY_FACTOR = 4;
    // Reading takes more than this fraction of a request's work: each retry costs the others that.
    private static final double EXPENSIVE_READ = 0.1;
    // Fraction of the difference by which the quickest read is forgotten with each arrival.
    private static final double READ_DECAY = 0.002;
    // Longer than any read, until the first arrival.
    private static final double NO_READ_MS = 1e9;

    private final ServerState server;
    private final SplittableRandom random;
    private final Duration maxRetryAfter;
    private double averageOccupancy;
    private Duration averagedAt = Duration.ZERO;
    private double quickestReadMs = NO_READ_MS;
    private int queuedSinceRejection;

    AdmissionControl(ServerState server, ControllerSettings settings, long seed) {
        this.server = server;
        random = new SplittableRandom(seed);
        maxRetryAfter = settings.callers().maxRetryAfter();
        double least = Math.max(MIN_WEIGHT, server.weights().min().orElse(1));
        double range = Math.log(server.weights().max().orElse(1) / least);
        for (PriorityClass priorityClass : server.priorityClasses()) {
            double rank = range > 0 ? Math.log(Math.max(1, priorityClass.weight() / least)) / range : 0.5;
            double ratio = MOST_COEFFICIENT / LEAST_COEFFICIENT;
            priorityClass.setRejectionCoefficient(LEAST_COEFFICIENT * Math.pow(ratio, rank));
        }
    }

    void decideOnArrival(Request request, Duration now) {
        double waiting = updateAverage(request, now);
        // Rule 3: what arrived after the grace is not run; near the stop nothing more is started.
        Duration expectedEnd = now.plus(request.expectedRunTime());
        Duration expectedAnswer = expectedEnd.plus(Durations.ofMillis(waiting * server.objectiveMs()));
        boolean missesObjective = Durations.isReached(expectedAnswer, request.objectiveAt());
        Completions completions = server.completions();
        if (server.drain().isPastGrace(request) || server.drain().stopsBy(expectedEnd)) {
            completions.reject(request, now, RejectionReason.DRAINING, false, maxRetryAfter);
        } else if (server.stallDetector().isStalled()) {
            completions.reject(request, now, RejectionReason.STALLED, false, maxRetryAfter);
        } else if (!server.duplicates().hasMemoryFor(request)) {
            completions.reject(request, now, RejectionReason.MEMORY, false, Duration.ZERO);
        } else if (server.idempotencyWindow().forbidsAdmission(request, now)) {
            Duration wait = Durations.later(
                    Duration.ZERO, server.idempotencyWindow().arrivedFrom().minus(now));
            Duration retryAfter = Durations.earlier(maxRetryAfter, wait);
            completions.reject(request, now, RejectionReason.IDEMPOTENCY_UNKNOWN, false, retryAfter);
        } else if (server.onCoreCount() >= server.cores() && missesObjective) {
            // Work that cannot meet its objective is waste.
            boolean isFinal = request.isRetry() || isReadingExpensive();
            completions.reject(request, now, RejectionReason.OBJECTIVE_UNREACHABLE, isFinal, maxRetryAfter);
        } else if (isRejectedAtRandom(request)) {
            // Random rejections happen only while the queue is long, as it is then on the other servers: a
            // walk through them costs each a read, with many callers a new connection, and is rejected again.
            queuedSinceRejection = 0;
            completions.reject(request, now, RejectionReason.RANDOM, true, randomRetryAfter());
        } else {
            queuedSinceRejection++;
            server.duplicates().retainFromAdmission(request, now);
        }
    }

    /** Updates the average occupancy; returns the occupancy by the queue alone. */
    private double updateAverage(Request request, Duration now) {
        // Time unread counts as waiting too: what exceeds the quickest read, as part of the objective.
        double readDelayMs = Durations.toMillis(now.minus(request.arrivedAt()));
        quickestReadMs = Math.min(readDelayMs, quickestReadMs + READ_DECAY * (readDelayMs - quickestReadMs));
        // Neither the arrival nor what idle cores start at once is waiting.
        int idleCores = Math.max(0, server.cores() - server.onCoreCount());
        double waiting = Math.max(0, server.queuedCount() - 1 - idleCores)
                / server.capacity().queueCapacity();
        double unread = (readDelayMs - quickestReadMs) / server.objectiveMs();
        averagedAt = now;
        averageOccupancy = (1 - QUEUE_WEIGHT) * averageOccupancy + QUEUE_WEIGHT * (waiting + unread);
        return waiting;
    }

    /** How far an occupancy is from the lower threshold (0) to the upper one (1). */
    static double thresholdExcess(double occupancy) {
        return (occupancy - MIN_THRESHOLD) / (MAX_THRESHOLD - MIN_THRESHOLD);
    }

    /** The longest time that a caller may be asked to stay away; zero where it cannot be asked. */
    Duration maxRetryAfter() {
        return maxRetryAfter;
    }

    /** The moving average of the queue's occupancy, 1 for the capacity of the queue. */
    double averageOccupancy() {
        return averageOccupancy;
    }

    /** When the last arrival was averaged. */
    Duration averagedAt() {
        return averagedAt;
    }

    boolean isUnderPressure() {
        return averageOccupancy >= MIN_THRESHOLD;
    }

    boolean isReadingExpensive() {
        double capacity = server.capacity().queueCapacity();
        return quickestReadMs > EXPENSIVE_READ * server.cores() * server.objectiveMs() / capacity;
    }

    private boolean isRejectedAtRandom(Request request) {
        if (averageOccupancy < MIN_THRESHOLD) {
            return false;
        }
        double base = thresholdExcess(averageOccupancy) * MAX_PROBABILITY;
        double retryFactor = request.isRetry() ? RETRY_FACTOR : 1;
        double coefficient = request.priorityClass().rejectionCoefficient() * retryFactor;
        boolean certain = averageOccupancy > MAX_THRESHOLD || queuedSinceRejection * base >= 1;
        double probability = certain ? 1 : coefficient * base / (1 - queuedSinceRejection * base);
        return random.nextDouble() < probability;
    }

    // Grows with the queue, as the longest time on each rejection would keep callers from servers with room.
    private Duration randomRetryAfter() {
        double fraction = Math.min(1, thresholdExcess(averageOccupancy));
        return Durations.ofMillis(Durations.toMillis(maxRetryAfter) * fraction);
    }
}
