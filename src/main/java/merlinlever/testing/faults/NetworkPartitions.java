package merlinlever.testing.faults;

import java.util.Arrays;
import java.util.TreeSet;

/** Which one-way links of a model's network are cut, and into how many sides that parts it. */
final class NetworkPartitions {

    private final boolean[][] cut;

    NetworkPartitions(int n) {
        cut = new boolean[n][n];
    }

    void set(int from, int to, boolean is) {
        cut[from][to] = is;
    }

    boolean is(int from, int to) {
        return cut[from][to];
    }

    /** Of two on one side the same number. */
    int sideOf(int i) {
        for (int k = 0; k < i; k++) {
            if (!cut[i][k] && !cut[k][i]) {
                return sideOf(k);
            }
        }
        return i;
    }

    /** Into how many sides it is parted, so that none reaches another, less one. */
    int parted() {
        TreeSet<Integer> sides = new TreeSet<>();
        for (int i = 0; i < cut.length; i++) {
            sides.add(sideOf(i));
        }
        return sides.size() - 1;
    }

    /** Each to a side; what is sent passes within one alone. */
    void sides(int... side) {
        for (int i = 0; i < cut.length; i++) {
            for (int k = 0; k < cut.length; k++) {
                cut[i][k] = side[i] != side[k];
            }
        }
    }

    void heal() {
        for (boolean[] each : cut) {
            Arrays.fill(each, false);
        }
    }
}
