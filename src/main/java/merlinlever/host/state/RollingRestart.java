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
 * Decides a rolling restart: which instances to restart next, when to wait, and when to stop because it went wrong. A batch
 * is of one machine. At most a configured fraction of the fleet is unavailable at once, whatever the reason. The next batch
 * begins when the restarted instances report to be warm and callers are rejected hardly more often than before. Without
 * input, output, thread or clock: the caller passes in what it observes and restarts what it is told to.
 */
public final class RollingRestart {

    /** How far the rolling restart is. */
    public enum RolloutPhase {
        /** The rejection rate before the first batch is measured. */
        MEASURING_BASELINE,
        RESTARTING,
        DONE,
        /** Something went wrong; {@link RollingRestart#reason} says what. */
        STOPPED
    }

    /**
     * One instance as it was last observed.
     *
     * @param launches how many processes of it were launched
     * @param rejections requests that its process rejected or aborted since it began
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
     * How a rolling restart proceeds.
     *
     * @param batchSize the most instances that are restarted at once
     * @param maxUnavailableFraction the part of the fleet that may be unavailable at once, 0 to 1; one instance always may
     * @param warmUpTimeout within which a restarted instance has to serve again
     * @param observationPeriod for which rejections are measured before the first batch and after each
     * @param maxRejectionRatio the restart is stopped if the rejection rate exceeds the baseline so many times
     */
    public record RollingRestartSettings(
            int batchSize,
            double maxUnavailableFraction,
            Duration warmUpTimeout,
            Duration observationPeriod,
            double maxRejectionRatio) {}

    /** Rejections per second above the limit that are tolerated, so that a single one in a quiet fleet is no reason to stop. */
    private static final double TOLERATED_REJECTION_RATE = 1;

    private static final double MILLIS_PER_SECOND = Duration.ofSeconds(1).toMillis();
    private static final double MIN_RATE_SECONDS = 0.001;
    /** A restarted instance may crash once before it serves; with another crash the restart is stopped. */
    private static final int MAX_LAUNCHES_AFTER_RESTART = 2;
    /** So many unavailable instances are named in the reason for waiting. */
    private static final int MAX_NAMED_INSTANCES = 5;

    private final RollingRestartSettings settings;
    private final Set<String> pending;
    /** The instances that were restarted and do not serve yet, with their launches before. */
    private final Map<String, Long> launchesBeforeRestart = new LinkedHashMap<>();

    private final List<String> completed = new ArrayList<>();
    private final Map<String, InstanceObservation> lastObservations = new LinkedHashMap<>();
    private RolloutPhase phase = RolloutPhase.MEASURING_BASELINE;
    private String reason = "";
    private long rejections;
    /** Since when the rejections are counted; null before the first observation. */
    private Duration measuringSince;
    /** Rejections per second before the first batch. */
    private double baselineRate;
    /** When the last batch began; null before the first. */
    private Duration batchStartedAt;

    /** @param names the instances to restart, in that order as far as their machines allow */
    public RollingRestart(RollingRestartSettings settings, List<String> names) {
        this.settings = settings;
        pending = new LinkedHashSet<>(names);
    }

    /** How far it is. */
    public RolloutPhase phase() {
        return phase;
    }

    /** Whether it restarts nothing any more. */
    public boolean isOver() {
        return phase == RolloutPhase.DONE || phase == RolloutPhase.STOPPED;
    }

    /** Why it waits or was stopped, for operators; empty where it does neither. */
    public String reason() {
        return reason;
    }

    /** The instances that were restarted and serve again. */
    public List<String> completed() {
        return completed;
    }

    /** The instances that were restarted and do not serve yet. */
    public List<String> restarting() {
        return new ArrayList<>(launchesBeforeRestart.keySet());
    }

    /** The instances that are still to be restarted. */
    public List<String> pending() {
        return new ArrayList<>(pending);
    }

    /** The instances to restart now, by an observation of the whole fleet; empty while it waits or when it is over. */
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

    private void stop(String why) {
        phase = RolloutPhase.STOPPED;
        reason = why;
    }

    /** Adds the rejections since the last observation; a restarted process counts from zero. */
    private void countRejections(List<InstanceObservation> fleet) {
        for (InstanceObservation current : fleet) {
            InstanceObservation before = lastObservations.put(current.name, current);
            if (before != null) {
                boolean isSameProcess = current.launches == before.launches && current.rejections >= before.rejections;
                rejections += isSameProcess ? current.rejections - before.rejections : current.rejections;
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
            reason = "watching callers before the first batch";
            return true;
        }
        baselineRate = rejectionRate(now);
        phase = RolloutPhase.RESTARTING;
        return false;
    }

    /** Completes the instances of the batch that serve again, and stops where one of them has failed. */
    private boolean hasFailedInstance(Duration now) {
        for (Map.Entry<String, Long> entry : List.copyOf(launchesBeforeRestart.entrySet())) {
            InstanceObservation current = lastObservations.get(entry.getKey());
            long launches = current.launches - entry.getValue();
            if (current.state == InstanceSupervisor.InstanceState.GIVEN_UP) {
                stop(current.name + " keeps dying since it was restarted");
                return true;
            }
            if (launches > MAX_LAUNCHES_AFTER_RESTART) {
                stop(current.name + " died " + (launches - 1) + " times since it was restarted");
                return true;
            }
            if (current.isServing() && launches > 0) {
                launchesBeforeRestart.remove(entry.getKey());
                completed.add(entry.getKey());
                resetRejections(now);
            } else if (now.minus(batchStartedAt).compareTo(settings.warmUpTimeout) > 0) {
                stop(current.name + " is not warm " + settings.warmUpTimeout.toSeconds()
                        + " s after it was restarted, but " + current.state.wireName());
                return true;
            }
        }
        return false;
    }

    private boolean isWaitingForBatch(Duration now) {
        if (!launchesBeforeRestart.isEmpty()) {
            reason = "waiting for " + String.join(", ", launchesBeforeRestart.keySet()) + " to be warm";
            return true;
        }
        if (batchStartedAt != null && !isObserved(now)) {
            reason = "watching callers behind the batch";
            return true;
        }
        return false;
    }

    /** Stops where callers are rejected clearly more often since the last batch than before the first. */
    private boolean isRejectingMore(Duration now) {
        if (batchStartedAt == null) {
            return false;
        }
        double rate = rejectionRate(now);
        if (rate <= TOLERATED_REJECTION_RATE + settings.maxRejectionRatio * baselineRate) {
            return false;
        }
        stop(String.format(
                Locale.ROOT, "%.1f operations a second are turned away, %.1f were before", rate, baselineRate));
        return true;
    }

    private List<String> chooseBatch(Duration now, List<InstanceObservation> fleet) {
        int maxUnavailable = Math.max(1, (int) (settings.maxUnavailableFraction * fleet.size()));
        List<String> unavailable = fleet.stream()
                .filter(observation -> !observation.isServing())
                .map(InstanceObservation::name)
                .toList();
        // A pending instance that is unavailable already takes no other one away.
        long unavailableOthers =
                unavailable.stream().filter(name -> !pending.contains(name)).count();
        int maxBatch = Math.min(settings.batchSize, maxUnavailable - (int) unavailableOthers);
        for (String name : pending) {
            InstanceObservation observation = lastObservations.get(name);
            if (observation == null) {
                stop(name + " is not known any more");
                return List.of();
            }
            if (observation.state == InstanceSupervisor.InstanceState.UNREACHABLE) {
                reason = name + " is not reached: waiting for it";
                return List.of();
            }
        }
        List<String> batch = firstOfOneHost(maxBatch);
        if (batch.isEmpty()) {
            List<String> named = unavailable.subList(0, Math.min(MAX_NAMED_INSTANCES, unavailable.size()));
            reason = unavailable.size() + " of " + fleet.size() + " are away (" + String.join(", ", named)
                    + "), at most " + maxUnavailable + " may be: waiting";
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
