package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Arrays;
import merlinlever.common.WireNamed;
import merlinlever.controller.Outcome;

/**
 * The health of this site's own records service, by the outcomes of the calls to it: unreachable when several in a row did not get
 * through, slow when half of the latest calls took too long or were abandoned. While it is either, a call now and then probes it.
 * Times are since the process began. Not thread-safe.
 */
public final class LocalServiceHealth {

    /** How the service does. */
    public enum HealthState implements WireNamed {
        HEALTHY("good"),
        SLOW("slow"),
        UNREACHABLE("away");

        private final String wireName;

        HealthState(String wireName) {
            this.wireName = wireName;
        }

        /** The name in logs and JSON; it stays when the constant is renamed. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Settings.
     *
     * @param failuresUntilUnreachable calls in a row that do not get through
     * @param slowCall a call that takes longer counts as slow
     * @param slownessWindow so many of the latest calls are considered, and half of them slow make the service slow
     * @param probeInterval between two probes
     * @param successesUntilHealthy calls in a row that get through quickly
     */
    public record HealthSettings(
            int failuresUntilUnreachable,
            Duration slowCall,
            int slownessWindow,
            Duration probeInterval,
            int successesUntilHealthy) {
        /** The settings of every released program. */
        public static final HealthSettings DEFAULTS =
                new HealthSettings(3, Duration.ofMillis(500), 32, Duration.ofMillis(500), 3);
    }

    private final HealthSettings settings;
    /** A ring of the latest calls: whether each was slow. */
    private final boolean[] slowCalls;

    private HealthState state = HealthState.HEALTHY;
    private int nextSlot;
    private int slowCount;
    private int sampleCount;
    private int failuresInARow;
    private int successesInARow;
    private Duration lastProbeAt = Duration.ZERO;

    /** A service that is taken for healthy until calls show otherwise. */
    public LocalServiceHealth(HealthSettings settings) {
        this.settings = settings;
        slowCalls = new boolean[settings.slownessWindow()];
    }

    /** The present state. */
    public HealthState state() {
        return state;
    }

    /** A call to the service ended. */
    public void recordOutcome(Duration now, Outcome outcome, Duration duration) {
        if (outcome == Outcome.NOT_STARTED || outcome == Outcome.STOPPED) {
            return;
        }
        boolean failed = outcome == Outcome.UNREACHABLE || outcome == Outcome.CONNECTION_LOST;
        boolean isSlow = outcome == Outcome.TIMED_OUT || duration.compareTo(settings.slowCall()) > 0;
        failuresInARow = failed ? failuresInARow + 1 : 0;
        successesInARow = failed || isSlow ? 0 : successesInARow + 1;
        slowCount += (isSlow ? 1 : 0) - (slowCalls[nextSlot] ? 1 : 0);
        slowCalls[nextSlot] = isSlow;
        nextSlot = (nextSlot + 1) % slowCalls.length;
        sampleCount = Math.min(slowCalls.length, sampleCount + 1);
        boolean isHalfSlow = sampleCount >= slowCalls.length && slowCount * 2 >= slowCalls.length;
        if (failuresInARow >= settings.failuresUntilUnreachable()) {
            changeState(HealthState.UNREACHABLE, now);
        } else if (state == HealthState.HEALTHY && isHalfSlow) {
            changeState(HealthState.SLOW, now);
        } else if (state != HealthState.HEALTHY && successesInARow >= settings.successesUntilHealthy()) {
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
            successesInARow = 0;
        }
    }

    /** Whether a call that starts now is to probe the service, which is not healthy; if so the next one waits. */
    public boolean shouldProbe(Duration now) {
        if (state == HealthState.HEALTHY || now.minus(lastProbeAt).compareTo(settings.probeInterval()) < 0) {
            return false;
        }
        lastProbeAt = now;
        return true;
    }
}
