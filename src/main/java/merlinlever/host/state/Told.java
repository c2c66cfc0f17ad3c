package merlinlever.host.state;

import java.util.Map;

/**
 * What an instance told of itself.
 *
 * @param phase starting, cold, warm or leaving
 * @param capacity what its module learned that its hold can take
 * @param inHand operations that are read and not yet answered
 * @param pushedBack since its start, by reason
 */
public record Told(String phase, boolean healthy, boolean hung, int held, int running, int inHand, double capacity, double avg, double level,
        Map<String, Long> pushedBack, long brokenOff) {
}
