package merlinlever.testing.faults.timeline;

import java.time.Duration;

/**
 * One thing that a node did or that was done to it.
 *
 * @param at since the beginning
 * @param node its column, or empty for what happens to all: it is drawn right across
 * @param what begins with a mark: {@code > to: said}, {@code x to: said and lost}, {@code < from: heard}, {@code * believed or
 *         decided}, {@code ! done to it}
 */
public record TimelineEvent(Duration at, String node, String what) {

    /** What was done to a node changes how its column goes on. */
    public static final String KILLED = "! killed",
            STARTED = "! starts",
            PAUSED = "! stands still",
            RESUMED = "! goes on";

    /** The first word: what kind of thing it is. */
    public char mark() {
        return what.isEmpty() ? ' ' : what.charAt(0);
    }

    /** Whether what came before it in its column is over with it, so that repeats are counted anew. */
    boolean turns() {
        return mark() == '*' || mark() == '!';
    }
}
