package merlinlever.policy;

import java.time.Duration;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import merlinlever.controller.settings.ControllerSettings;

/**
 * Decides which arriving requests are queued and which are rejected. A request is rejected if a safety rule
 * requires the rejection, if its latency objective cannot be met, or by random early detection weighted by
 * priority class, after Nozoe et al. (docs/design.md).
 */
final class AdmissionControl {
    // The parameters w_q, min_th, max_th and max_p of random early detection: the weight of the latest
    // occupancy in the moving average, the thresholds of the average above which some or all arrivals are
    // rejected, and the base probability at the upper threshold.
    private static final double SMOOTHING = 0.8;
    private static final double LOWER_THRESHOLD = 0.3;
    private static final double UPPER_THRESHOLD = 0.8;
    private static final double MAX_BASE_PROBABILITY = 0.4;
    // Rejection coefficients of the classes with the lowest and the highest weight. Classes of weight 0 are
    // treated as if they had MIN_WEIGHT.
    private static final double LOWEST_WEIGHT_COEFFICIENT = 5.0;
    private static final double HIGHEST_WEIGHT_COEFFICIENT = 0.1;
    private static final double MIN_WEIGHT = 0.001;
    // Factor of the rejection probability of a retry: part of its objective has passed before its arrival,
    // and at least one other server is overloaded too.
    private static final double RETRY_FACTOR = 4;
    // Fraction of a request's work above which reading the request counts as expensive. Each retry costs
    // another server one more read.
    private static final double EXPENSIVE_READ_FRACTION = 0.1;
    // Fraction by which the minimum read delay moves towards the current read delay with each arrival.
    private static final double READ_DECAY = 0.002;
    // Longer than any read delay, so that the first arrival sets the minimum.
    private static final double INITIAL_MIN_READ_DELAY_MS = 1e9;

    private final ServerState server;
    private final SplittableRandom random;
    private final Duration maxRetryAfter;
    private double averageOccupancy;
    private Duration averagedAt = Duration.ZERO;
    private double minReadDelayMs = INITIAL_MIN_READ_DELAY_MS;
    private int queuedSinceRejection;

    AdmissionControl(ServerState server, ControllerSettings settings, long seed) {
        this.server = server;
        random = new SplittableRandom(seed);
        maxRetryAfter = settings.callers().maxRetryAfter();
        double lowestWeight = Math.max(MIN_WEIGHT, server.weights().min().orElse(1));
        double logWeightRange = Math.log(server.weights().max().orElse(1) / lowestWeight);
        for (PriorityClass priorityClass : server.priorityClasses()) {
            double rank = logWeightRange > 0
                    ? Math.log(Math.max(1, priorityClass.weight() / lowestWeight)) / logWeightRange
                    : 0.5;
            double ratio = HIGHEST_WEIGHT_COEFFICIENT / LOWEST_WEIGHT_COEFFICIENT;
            priorityClass.setRejectionCoefficient(LOWEST_WEIGHT_COEFFICIENT * Math.pow(ratio, rank));
        }
    }

    void decideOnArrival(Request request, Duration now) {
        double queueOccupancy = updateAverage(request, now);
        // Safety rule 3: requests that arrived after the grace period are not run, and no request is started
        // that would end after the process is stopped.
        Duration endAt = now.plus(request.expectedRunTime());
        Duration answerAt = endAt.plus(Durations.ofMillis(queueOccupancy * server.objectiveMs()));
        boolean missesObjective = Durations.isReached(answerAt, request.objectiveAt());
        Completions completions = server.completions();
        if (server.drain().isPastGrace(request) || server.drain().stopsBy(endAt)) {
            completions.reject(request, now, RejectionReason.DRAINING, false, maxRetryAfter);
        } else if (server.stallDetector().isStalled()) {
            completions.reject(request, now, RejectionReason.STALLED, false, maxRetryAfter);
        } else if (!server.duplicates().hasMemoryFor(request)) {
            completions.reject(request, now, RejectionReason.MEMORY, false, Duration.ZERO);
        } else if (server.idempotencyWindow().forbidsAdmission(request, now)) {
            Duration untilPermitted = Durations.later(
                    Duration.ZERO, server.idempotencyWindow().arrivedFrom().minus(now));
            Duration retryAfter = Durations.earlier(maxRetryAfter, untilPermitted);
            completions.reject(request, now, RejectionReason.IDEMPOTENCY_UNKNOWN, false, retryAfter);
        } else if (server.onCoreCount() >= server.cores() && missesObjective) {
            // A run that cannot meet its objective would be wasted work.
            boolean isFinal = request.isRetry() || isReadingExpensive();
            completions.reject(request, now, RejectionReason.OBJECTIVE_UNREACHABLE, isFinal, maxRetryAfter);
        } else if (isRejectedAtRandom(request)) {
            // A random rejection is final: the queue is long, and probably on the other servers too. A retry
            // would cost each of them a read, with many callers also a new connection, and fail again.
            queuedSinceRejection = 0;
            completions.reject(request, now, RejectionReason.RANDOM, true, randomRetryAfter());
        } else {
            queuedSinceRejection++;
            server.duplicates().retainFromAdmission(request, now);
        }
    }

    /** Updates the average occupancy; returns the current occupancy of the queue, without read delays. */
    private double updateAverage(Request request, Duration now) {
        // The read delay above the minimum is queueing time too, as a fraction of the objective.
        double readDelayMs = Durations.toMillis(now.minus(request.arrivedAt()));
        minReadDelayMs = Math.min(readDelayMs, minReadDelayMs + READ_DECAY * (readDelayMs - minReadDelayMs));
        // The arriving request and the requests that idle cores start at once do not count as queued.
        int idleCores = Math.max(0, server.cores() - server.onCoreCount());
        double queueOccupancy = Math.max(0, server.queuedCount() - 1 - idleCores)
                / server.capacity().queueCapacity();
        double readOccupancy = (readDelayMs - minReadDelayMs) / server.objectiveMs();
        averagedAt = now;
        averageOccupancy = (1 - SMOOTHING) * averageOccupancy + SMOOTHING * (queueOccupancy + readOccupancy);
        return queueOccupancy;
    }

    /** Returns the position of an occupancy between the lower threshold (0) and the upper threshold (1). */
    static double thresholdExcess(double occupancy) {
        return (occupancy - LOWER_THRESHOLD) / (UPPER_THRESHOLD - LOWER_THRESHOLD);
    }

    /** Returns the longest Retry-After of a rejection; zero if rejections carry no Retry-After. */
    Duration maxRetryAfter() {
        return maxRetryAfter;
    }

    /** Returns the moving average of the queue's occupancy; 1 means that the queue is at its capacity. */
    double averageOccupancy() {
        return averageOccupancy;
    }

    /** Returns the time of the last update of the average occupancy. */
    Duration averagedAt() {
        return averagedAt;
    }

    boolean isUnderPressure() {
        return averageOccupancy >= LOWER_THRESHOLD;
    }

    boolean isReadingExpensive() {
        double capacity = server.capacity().queueCapacity();
        return minReadDelayMs > EXPENSIVE_READ_FRACTION * server.cores() * server.objectiveMs() / capacity;
    }

    private boolean isRejectedAtRandom(Request request) {
        if (averageOccupancy < LOWER_THRESHOLD) {
            return false;
        }
        double base = thresholdExcess(averageOccupancy) * MAX_BASE_PROBABILITY;
        double retryFactor = request.isRetry() ? RETRY_FACTOR : 1;
        double coefficient = request.priorityClass().rejectionCoefficient() * retryFactor;
        boolean rejectsCertainly = averageOccupancy > UPPER_THRESHOLD || queuedSinceRejection * base >= 1;
        double probability = rejectsCertainly ? 1 : coefficient * base / (1 - queuedSinceRejection * base);
        return random.nextDouble() < probability;
    }

    // The Retry-After grows with the queue: the maximum on every rejection would keep callers away from
    // servers with free capacity.
    private Duration randomRetryAfter() {
        double fraction = Math.min(1, thresholdExcess(averageOccupancy));
        return Durations.ofMillis(Durations.toMillis(maxRetryAfter) * fraction);
    }
}
