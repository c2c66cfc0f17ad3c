package merlinlever.quota;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Weighted max-min fair shares: nobody gets more than it wants, and nobody could get more without one that has less by weight losing. */
public final class MaxMinFairAllocation {

    private MaxMinFairAllocation() {}

    /**
     * Whole shares that sum to the smaller of the whole and what is wanted.
     *
     * @param weights 1 or more each
     * @param turn what is left over after equal parts goes round from here, so that it is not always the same that get it
     */
    public static long[] allocate(long whole, long[] wanted, int[] weights, int turn) {
        int n = wanted.length;
        long[] shares = new long[n];
        boolean[] full = new boolean[n];
        long left = whole;
        while (left > 0) {
            long weight = 0;
            for (int i = 0; i < n; i++) {
                full[i] = shares[i] >= wanted[i];
                weight += full[i] ? 0 : weights[i];
            }
            if (weight == 0) {
                break;
            }
            long unit = left / weight;
            if (unit == 0) {
                rest(left, shares, wanted, weights, turn);
                break;
            }
            // The most that all can rise by together before one is full, at once.
            long rise = unit;
            for (int i = 0; i < n; i++) {
                if (!full[i]) {
                    rise = Math.min(rise, Math.max(1, (wanted[i] - shares[i]) / weights[i]));
                }
            }
            for (int i = 0; i < n && left > 0; i++) {
                if (!full[i]) {
                    long part = Math.min(Math.min(left, rise * weights[i]), wanted[i] - shares[i]);
                    shares[i] += part;
                    left -= part;
                }
            }
        }
        return shares;
    }

    /** Fewer than one for each weight: each goes to whoever has the least by weight with it, in turn among the same. */
    private static void rest(long left, long[] shares, long[] wanted, int[] weights, int turn) {
        int n = shares.length;
        PriorityQueue<Integer> next =
                new PriorityQueue<>(Comparator.<Integer>comparingDouble(i -> (shares[i] + 1.0) / weights[i])
                        .thenComparingInt(i -> Math.floorMod(i - turn, n)));
        for (int i = 0; i < n; i++) {
            if (shares[i] < wanted[i]) {
                next.add(i);
            }
        }
        for (long still = left; still > 0 && !next.isEmpty(); still--) {
            int i = next.poll();
            shares[i]++;
            if (shares[i] < wanted[i]) {
                next.add(i);
            }
        }
    }
}
