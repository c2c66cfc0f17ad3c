package merlinlever.host.state;

import java.util.Arrays;

/**
 * Tells slow instances from their peers: against the median of the kind, with hysteresis, and only where there are enough
 * peers for a median to say something.
 */
public final class OutlierDetector {

    private static final int LEAST = 3;
    private static final double SLOW = 0.5, FINE = 0.7;
    /** So many looks in a row. */
    private static final int LOOKS = 3;

    private final int[] against;
    private final boolean[] slow;

    public OutlierDetector(int count) {
        against = new int[count];
        slow = new boolean[count];
    }

    /**
     * Takes one sample of the capacities of all instances.
     *
     * @param capacity of each, NaN where it is warming up or not known
     */
    public void look(double[] capacity) {
        double[] known =
                Arrays.stream(capacity).filter(c -> !Double.isNaN(c)).sorted().toArray();
        for (int i = 0; i < capacity.length; i++) {
            if (known.length < LEAST || Double.isNaN(capacity[i])) {
                against[i] = 0;
                slow[i] = slow[i] && known.length >= LEAST;
                continue;
            }
            double share = capacity[i] / known[known.length / 2];
            boolean speaks = slow[i] ? share > FINE : share < SLOW;
            against[i] = speaks ? against[i] + 1 : 0;
            if (against[i] >= LOOKS) {
                slow[i] = !slow[i];
                against[i] = 0;
            }
        }
    }

    public boolean slow(int index) {
        return slow[index];
    }
}
