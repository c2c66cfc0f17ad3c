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
        GOOD("good"),
        SLOW("slow"),
        AWAY("away");

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
     * @param inARow ends that did not get through, one after the other, that make it away
     * @param slow a call that takes longer counts as slow
     * @param of the last so many calls are looked at, and half of them slow make it slow
     * @param tryAgain so often a call tries it
     * @param good tries in a row that make it good again
     */
    public record HealthSettings(int inARow, Duration slow, int of, Duration tryAgain, int good) {
        public static final HealthSettings USUAL =
                new HealthSettings(3, Duration.ofMillis(500), 32, Duration.ofMillis(500), 3);
    }

    private final HealthSettings stated;
    private final boolean[] slow;
    private HealthState state = HealthState.GOOD;
    private int next, slows, seen, lost, good;
    private Duration triedAt = Duration.ZERO;

    public LocalServiceHealth(HealthSettings stated) {
        this.stated = stated;
        slow = new boolean[stated.of()];
    }

    public HealthState state() {
        return state;
    }

    /** A call to it ended. */
    public void ended(Duration now, Outcome how, Duration took) {
        if (how == Outcome.NOT_STARTED || how == Outcome.STOPPED) {
            return;
        }
        boolean gone = how == Outcome.UNREACHABLE || how == Outcome.CONNECTION_LOST;
        boolean late = how == Outcome.TIMED_OUT || took.compareTo(stated.slow()) > 0;
        lost = gone ? lost + 1 : 0;
        good = gone || late ? 0 : good + 1;
        slows += (late ? 1 : 0) - (slow[next] ? 1 : 0);
        slow[next] = late;
        next = (next + 1) % slow.length;
        seen = Math.min(slow.length, seen + 1);
        if (lost >= stated.inARow()) {
            become(HealthState.AWAY, now);
        } else if (state == HealthState.GOOD && seen >= slow.length && slows * 2 >= slow.length) {
            become(HealthState.SLOW, now);
        } else if (state != HealthState.GOOD && good >= stated.good()) {
            become(HealthState.GOOD, now);
            java.util.Arrays.fill(slow, false);
            slows = 0;
            seen = 0;
        }
    }

    private void become(HealthState now, Duration at) {
        if (state != now) {
            state = now;
            triedAt = at;
            good = 0;
        }
    }

    /** Whether this call is to try it although it is not good. */
    public boolean tries(Duration now) {
        if (state == HealthState.GOOD || now.minus(triedAt).compareTo(stated.tryAgain()) < 0) {
            return false;
        }
        triedAt = now;
        return true;
    }
}
