package merlinlever.host.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * State machine of a rolling restart: decides which instances to restart next, when to wait, and when to stop after a
 * failure. All instances of a batch run on the same machine. At most a configured fraction of the fleet is unavailable
 * at once, whatever the cause. The next batch begins when the restarted instances are warm and the rejection rate is
 * close to the baseline. The class performs no I/O and has no thread or clock: the {@code fleet} command passes in
 * observations and restarts the returned instances.
 */
public final class RollingRestart {

    /** Phase of the rolling restart. */
    public enum RolloutPhase {
        /** The rejection rate before the first batch is measured. */
        MEASURING_BASELINE,
        RESTARTING,
        DONE,
        /** The rolling restart failed; {@link RollingRestart#reason} describes the failure. */
        STOPPED
    }

    /**
     * Observation of one instance.
     *
     * @param launches number of processes of the instance that were launched
     * @param rejections requests that the current process rejected or aborted since its start
     */
    public record InstanceObservation(
            String name, String host, InstanceSupervisor.InstanceState state, long launches, long rejections) {

        boolean isServing() {
            return state == InstanceSupervisor.InstanceState.WARM
                    || state == InstanceSupervisor.InstanceState.SLOW
                    || state == InstanceSupervisor.InstanceState.UNMONITORED;
        }
    }

    /**
     * Settings of a rolling restart.
     *
     * @param batchSize maximum number of instances that are restarted at once
     * @param maxUnavailableFraction fraction of the fleet that may be unavailable at once, 0 to 1; at least one
     *     instance may
     * @param warmUpTimeout time within which a restarted instance has to serve requests again
     * @param observationPeriod time over which the rejection rate is measured before the first batch and after each
     *     batch
     * @param maxRejectionRatio maximum ratio of the rejection rate to the baseline; a higher ratio stops the restart
     */
    public record RollingRestartSettings(
            int batchSize,
            double maxUnavailableFraction,
            Duration warmUpTimeout,
            Duration observationPeriod,
            double maxRejectionRatio) {}

    /**
     * Rejections per second tolerated above the limit: a single rejection in an idle fleet does not stop the restart.
     */
    private static final double TOLERATED_REJECTION_RATE = 1;

    private static final double MILLIS_PER_SECOND = Duration.ofSeconds(1).toMillis();
    private static final double MIN_RATE_SECONDS = 0.001;
    /** A restarted instance may crash once before it serves requests; a second crash stops the rolling restart. */
    private static final int MAX_LAUNCHES_AFTER_RESTART = 2;
    /** Maximum number of unavailable instances listed in the reason for waiting. */
    private static final int MAX_NAMED_INSTANCES = 5;

    private final RollingRestartSettings settings;
    private final Set<String> pending;
    /** Restarted instances that do not serve requests yet, with their number of launches before the restart. */
    private final Map<String, Long> launchesBeforeRestart = new LinkedHashMap<>();

    private final List<String> completed = new ArrayList<>();
    private final Map<String, InstanceObservation> lastObservations = new LinkedHashMap<>();
    private RolloutPhase phase = RolloutPhase.MEASURING_BASELINE;
    private String reason = "";
    private long rejections;
    /** Start of the current measurement of rejections; null before the first observation. */
    private Duration measuringSince;
    /** Rejections per second before the first batch. */
    private double baselineRate;
    /** Start time of the last batch; null before the first batch. */
    private Duration batchStartedAt;

    /** @param names the instances to restart, in this order except that a batch is limited to one machine */
    public RollingRestart(RollingRestartSettings settings, List<String> names) {
        this.settings = settings;
        pending = new LinkedHashSet<>(names);
    }

    /** Returns the current phase. */
    public RolloutPhase phase() {
        return phase;
    }

    /** Returns whether the rolling restart has completed or was stopped. */
    public boolean isOver() {
        return phase == RolloutPhase.DONE || phase == RolloutPhase.STOPPED;
    }

    /** Returns the reason for waiting or stopping as text for operators, or an empty string. */
    public String reason() {
        return reason;
    }

    /** Returns the restarted instances that serve requests again. */
    public List<String> completed() {
        return completed;
    }

    /** Returns the restarted instances that do not serve requests yet. */
    public List<String> restarting() {
        return new ArrayList<>(launchesBeforeRestart.keySet());
    }

    /** Returns the instances that have not been restarted yet. */
    public List<String> pending() {
        return new ArrayList<>(pending);
    }

    /**
     * Returns the instances to restart now, given an observation of the whole fleet; empty while waiting and at the
     * end.
     */
    public List<String> nextBatch(Duration now, List<InstanceObservation> fleet) {
        if (isOver()) {
            return List.of();
        }
        countRejections(fleet);
        if (measuringSince == null) {
            resetRejections(now);
        }
        if (isMeasuringBaseline(now) || hasFailedInstance(now) || isWaitingForBatch(now) || isRejectingMore(now)) {
            return List.of();
        }
        if (pending.isEmpty()) {
            phase = RolloutPhase.DONE;
            reason = "";
            return List.of();
        }
        return chooseBatch(now, fleet);
    }

    private void stop(String failure) {
        phase = RolloutPhase.STOPPED;
        reason = failure;
    }

    /** Adds the rejections since the last observation; the counter of a new process starts at zero. */
    private void countRejections(List<InstanceObservation> fleet) {
        for (InstanceObservation current : fleet) {
            InstanceObservation previous = lastObservations.put(current.name, current);
            if (previous != null) {
                boolean isSameProcess =
                        current.launches == previous.launches && current.rejections >= previous.rejections;
                rejections += isSameProcess ? current.rejections - previous.rejections : current.rejections;
            }
        }
    }

    private void resetRejections(Duration now) {
        measuringSince = now;
        rejections = 0;
    }

    private double rejectionRate(Duration now) {
        return rejections / Math.max(MIN_RATE_SECONDS, now.minus(measuringSince).toMillis() / MILLIS_PER_SECOND);
    }

    private boolean isObserved(Duration now) {
        return now.minus(measuringSince).compareTo(settings.observationPeriod) >= 0;
    }

    private boolean isMeasuringBaseline(Duration now) {
        if (phase != RolloutPhase.MEASURING_BASELINE) {
            return false;
        }
        if (!isObserved(now)) {
            reason = "measuring the rejection rate before the first batch";
            return true;
        }
        baselineRate = rejectionRate(now);
        phase = RolloutPhase.RESTARTING;
        return false;
    }

    /** Completes the instances of the batch that serve requests again, and stops if one of them has failed. */
    private boolean hasFailedInstance(Duration now) {
        for (Map.Entry<String, Long> entry : List.copyOf(launchesBeforeRestart.entrySet())) {
            InstanceObservation current = lastObservations.get(entry.getKey());
            long launches = current.launches - entry.getValue();
            if (current.state == InstanceSupervisor.InstanceState.GIVEN_UP) {
                stop(current.name + " keeps crashing since its restart");
                return true;
            }
            if (launches > MAX_LAUNCHES_AFTER_RESTART) {
                stop(current.name + " crashed " + (launches - 1) + " times since its restart");
                return true;
            }
            if (current.isServing() && launches > 0) {
                launchesBeforeRestart.remove(entry.getKey());
                completed.add(entry.getKey());
                resetRejections(now);
            } else if (now.minus(batchStartedAt).compareTo(settings.warmUpTimeout) > 0) {
                stop(current.name + " is not warm " + settings.warmUpTimeout.toSeconds() + " s after its restart, but "
                        + current.state.wireName());
                return true;
            }
        }
        return false;
    }

    private boolean isWaitingForBatch(Duration now) {
        if (!launchesBeforeRestart.isEmpty()) {
            reason = "waiting for " + String.join(", ", launchesBeforeRestart.keySet()) + " to become warm";
            return true;
        }
        if (batchStartedAt != null && !isObserved(now)) {
            reason = "measuring the rejection rate after the batch";
            return true;
        }
        return false;
    }

    /** Stops if the rejection rate since the last batch exceeds the limit derived from the baseline. */
    private boolean isRejectingMore(Duration now) {
        if (batchStartedAt == null) {
            return false;
        }
        double rate = rejectionRate(now);
        if (rate <= TOLERATED_REJECTION_RATE + settings.maxRejectionRatio * baselineRate) {
            return false;
        }
        stop(String.format(
                Locale.ROOT,
                "%.1f requests per second are rejected, compared with %.1f before the first batch",
                rate,
                baselineRate));
        return true;
    }

    private List<String> chooseBatch(Duration now, List<InstanceObservation> fleet) {
        int maxUnavailable = Math.max(1, (int) (settings.maxUnavailableFraction * fleet.size()));
        List<String> unavailable = fleet.stream()
                .filter(observation -> !observation.isServing())
                .map(InstanceObservation::name)
                .toList();
        // Restarting a pending instance that is already unavailable does not make another instance unavailable.
        long unavailableOthers =
                unavailable.stream().filter(name -> !pending.contains(name)).count();
        int maxBatch = Math.min(settings.batchSize, maxUnavailable - (int) unavailableOthers);
        for (String name : pending) {
            InstanceObservation observation = lastObservations.get(name);
            if (observation == null) {
                stop(name + " is missing from the fleet report");
                return List.of();
            }
            if (observation.state == InstanceSupervisor.InstanceState.UNREACHABLE) {
                reason = name + " is unreachable: waiting for a status report";
                return List.of();
            }
        }
        List<String> batch = firstOfOneHost(maxBatch);
        if (batch.isEmpty()) {
            List<String> listed = unavailable.subList(0, Math.min(MAX_NAMED_INSTANCES, unavailable.size()));
            reason = unavailable.size() + " of " + fleet.size() + " instances are unavailable ("
                    + String.join(", ", listed) + "), at most " + maxUnavailable + " may be unavailable: waiting";
            return List.of();
        }
        begin(now, batch);
        return batch;
    }

    private List<String> firstOfOneHost(int maxBatch) {
        String host = lastObservations.get(pending.iterator().next()).host;
        return pending.stream()
                .filter(name -> lastObservations.get(name).host.equals(host))
                .limit(Math.max(0, maxBatch))
                .toList();
    }

    private void begin(Duration now, List<String> batch) {
        for (String name : batch) {
            pending.remove(name);
            launchesBeforeRestart.put(name, lastObservations.get(name).launches);
        }
        batchStartedAt = now;
        reason = "";
    }
}
