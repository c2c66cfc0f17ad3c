package merlinlever.routes;

import java.time.Duration;
import merlinlever.Outcome;
import merlinlever.WireNamed;

/**
 * How this site's own records service does, by how the calls to it end: away when several in a row did not get through, slow when
 * much of what went to it lately took too long or was given up. While it is either, a call now and then tries it.
 */
public final class LocalServiceHealth {

    public enum HealthState implements WireNamed {
        HEALTHY("good"),
        SLOW("slow"),
        UNREACHABLE("away");

        private final String wireName;

        HealthState(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * @param failuresUntilUnreachable ends that did not get through, one after the other, that make it away
     * @param slowCall a call that takes longer counts as slow
     * @param slownessWindow the last so many calls are looked at, and half of them slow make it slow
     * @param probeInterval so often a call tries it
     * @param successesUntilHealthy tries in a row that make it good again
     */
    public record HealthSettings(int failuresUntilUnreachable, Duration slowCall, int slownessWindow, Duration probeInterval, int successesUntilHealthy) {
        public static final HealthSettings DEFAULTS =
                new HealthSettings(3, Duration.ofMillis(500), 32, Duration.ofMillis(500), 3);
    }

    private final HealthSettings settings;
    private final boolean[] slowCalls;
    private HealthState state = HealthState.HEALTHY;
    private int nextSlot, slowCount, sampleCount, failuresInARow, successesInARow;
    private Duration lastProbeAt = Duration.ZERO;

    public LocalServiceHealth(HealthSettings settings) {
        this.settings = settings;
        slowCalls = new boolean[settings.slownessWindow()];
    }

    public HealthState state() {
        return state;
    }

    /** A call to it ended. */
    public void recordOutcome(Duration now, Outcome outcome, Duration duration) {
        if (outcome == Outcome.NEVER_BEGUN || outcome == Outcome.STOPPED) {
            return;
        }
        boolean failed = outcome == Outcome.UNREACHABLE || outcome == Outcome.CUT_OFF;
        boolean wasSlow = outcome == Outcome.GIVEN_UP || duration.compareTo(settings.slowCall()) > 0;
        failuresInARow = failed ? failuresInARow + 1 : 0;
        successesInARow = failed || wasSlow ? 0 : successesInARow + 1;
        slowCount += (wasSlow ? 1 : 0) - (slowCalls[nextSlot] ? 1 : 0);
        slowCalls[nextSlot] = wasSlow;
        nextSlot = (nextSlot + 1) % slowCalls.length;
        sampleCount = Math.min(slowCalls.length, sampleCount + 1);
        if (failuresInARow >= settings.failuresUntilUnreachable()) {
            changeState(HealthState.UNREACHABLE, now);
        } else if (state == HealthState.HEALTHY && sampleCount >= slowCalls.length && slowCount * 2 >= slowCalls.length) {
            changeState(HealthState.SLOW, now);
        } else if (state != HealthState.HEALTHY && successesInARow >= settings.successesUntilHealthy()) {
            changeState(HealthState.HEALTHY, now);
            java.util.Arrays.fill(slowCalls, false);
            slowCount = 0;
            sampleCount = 0;
        }
    }

    private void changeState(HealthState now, Duration at) {
        if (state != now) {
            state = now;
            lastProbeAt = at;
            successesInARow = 0;
        }
    }

    /** Whether this call is to try it although it is not good. */
    public boolean shouldProbe(Duration now) {
        if (state == HealthState.HEALTHY || now.minus(lastProbeAt).compareTo(settings.probeInterval()) < 0) {
            return false;
        }
        lastProbeAt = now;
        return true;
    }
}
