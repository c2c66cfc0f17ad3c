package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Arrays;
import merlinlever.common.WireNamed;
import merlinlever.controller.Outcome;

/**
 * Health of this site's own records service, derived from the outcomes of the calls to it. The service counts as
 * unreachable after several consecutive connection failures, and as slow when half of the latest calls were slow or
 * timed out. While the service is not healthy, an occasional call probes it. Times are durations since the start of
 * the process. Not thread-safe.
 */
public final class LocalServiceHealth {

    /** Health of the service. */
    public enum HealthState implements WireNamed {
        HEALTHY("good"),
        SLOW("slow"),
        UNREACHABLE("away");

        private final String wireName;

        HealthState(String wireName) {
            this.wireName = wireName;
        }

        /** The name in logs and JSON, independent of the name of the constant. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Settings of the health check.
     *
     * @param failuresUntilUnreachable number of consecutive connection failures after which the service is
     *     unreachable
     * @param slowCallThreshold a call that takes longer counts as slow
     * @param slownessWindow number of latest calls to consider; the service is slow when half of them are slow
     * @param probeInterval minimum time between two probes
     * @param successesUntilHealthy number of consecutive fast calls after which the service is healthy again
     */
    public record HealthSettings(
            int failuresUntilUnreachable,
            Duration slowCallThreshold,
            int slownessWindow,
            Duration probeInterval,
            int successesUntilHealthy) {
        public static final HealthSettings DEFAULTS =
                new HealthSettings(3, Duration.ofMillis(500), 32, Duration.ofMillis(500), 3);
    }

    private final HealthSettings settings;
    /** Ring buffer of the latest calls, with true for a slow call. */
    private final boolean[] slowCalls;

    private HealthState state = HealthState.HEALTHY;
    private int nextSlot;
    private int slowCount;
    private int sampleCount;
    private int consecutiveFailures;
    private int consecutiveSuccesses;
    private Duration lastProbeAt = Duration.ZERO;

    /** Creates the health of a service that is initially healthy. */
    public LocalServiceHealth(HealthSettings settings) {
        this.settings = settings;
        slowCalls = new boolean[settings.slownessWindow()];
    }

    /** Current health of the service. */
    public HealthState state() {
        return state;
    }

    /** Updates the health with the outcome of a call to the service. */
    public void recordOutcome(Duration now, Outcome outcome, Duration duration) {
        if (outcome == Outcome.NOT_STARTED || outcome == Outcome.STOPPED) {
            return;
        }
        boolean failed = outcome == Outcome.UNREACHABLE || outcome == Outcome.CONNECTION_LOST;
        boolean isSlow = outcome == Outcome.TIMED_OUT || duration.compareTo(settings.slowCallThreshold()) > 0;
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        consecutiveSuccesses = failed || isSlow ? 0 : consecutiveSuccesses + 1;
        slowCount += (isSlow ? 1 : 0) - (slowCalls[nextSlot] ? 1 : 0);
        slowCalls[nextSlot] = isSlow;
        nextSlot = (nextSlot + 1) % slowCalls.length;
        sampleCount = Math.min(slowCalls.length, sampleCount + 1);
        boolean isHalfSlow = sampleCount >= slowCalls.length && slowCount * 2 >= slowCalls.length;
        if (consecutiveFailures >= settings.failuresUntilUnreachable()) {
            changeState(HealthState.UNREACHABLE, now);
        } else if (state == HealthState.HEALTHY && isHalfSlow) {
            changeState(HealthState.SLOW, now);
        } else if (state != HealthState.HEALTHY && consecutiveSuccesses >= settings.successesUntilHealthy()) {
            changeState(HealthState.HEALTHY, now);
            Arrays.fill(slowCalls, false);
            slowCount = 0;
            sampleCount = 0;
        }
    }

    private void changeState(HealthState newState, Duration now) {
        if (state != newState) {
            state = newState;
            lastProbeAt = now;
            consecutiveSuccesses = 0;
        }
    }

    /**
     * Whether a call that starts now should probe the service. Returns false for a healthy service, and within the
     * probe interval after the last probe. A call of this method that returns true counts as a probe.
     */
    public boolean shouldProbe(Duration now) {
        if (state == HealthState.HEALTHY || now.minus(lastProbeAt).compareTo(settings.probeInterval()) < 0) {
            return false;
        }
        lastProbeAt = now;
        return true;
    }
}
