package merlinlever.fleet.quota;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Weighted max-min fair allocation (Bertsekas and Gallager, Data Networks, section 6.5.2) in whole units: nobody gets more
 * than it wants, and nobody could get more without taking from one that has less by weight.
 */
public final class MaxMinFairAllocation {

    /**
     * What one claims.
     *
     * @param wanted the most that it takes
     * @param weight 1 or more
     */
    public record Claim(long wanted, int weight) {}

    private final List<Claim> claims;
    private final int rotation;
    private final long[] allocated;
    private long remaining;

    private MaxMinFairAllocation(long capacity, List<Claim> claims, int rotation) {
        this.claims = claims;
        this.rotation = rotation;
        allocated = new long[claims.size()];
        remaining = capacity;
    }

    /**
     * Divides the capacity.
     *
     * @param rotation a remainder that cannot be divided evenly is handed out from the claim of this index on, so that it is
     *     not always the same that get it
     * @return the amount of each claim, in the order of the claims; the sum is the capacity or all that is wanted, whichever
     *     is less
     */
    public static long[] allocate(long capacity, List<Claim> claims, int rotation) {
        MaxMinFairAllocation allocation = new MaxMinFairAllocation(capacity, claims, rotation);
        allocation.fill();
        return allocation.allocated;
    }

    /** Raises all unsatisfied claims together by weight, until one is satisfied, and so on. */
    private void fill() {
        boolean[] satisfied = new boolean[allocated.length];
        while (remaining > 0) {
            long openWeight = 0;
            for (int i = 0; i < allocated.length; i++) {
                satisfied[i] = allocated[i] >= claims.get(i).wanted();
                openWeight += satisfied[i] ? 0 : claims.get(i).weight();
            }
            if (openWeight == 0) {
                return;
            }
            long unitsPerWeight = remaining / openWeight;
            if (unitsPerWeight == 0) {
                distributeRemainder();
                return;
            }
            raise(satisfied, commonRise(satisfied, unitsPerWeight));
        }
    }

    /** The most units for each weight by which all open claims can rise before one of them is satisfied. */
    private long commonRise(boolean[] satisfied, long unitsPerWeight) {
        long rise = unitsPerWeight;
        for (int i = 0; i < allocated.length; i++) {
            if (!satisfied[i]) {
                rise = Math.min(rise, Math.max(1, missing(i) / claims.get(i).weight()));
            }
        }
        return rise;
    }

    private void raise(boolean[] satisfied, long unitsPerWeight) {
        for (int i = 0; i < allocated.length && remaining > 0; i++) {
            if (!satisfied[i]) {
                long part = Math.min(
                        Math.min(remaining, unitsPerWeight * claims.get(i).weight()), missing(i));
                allocated[i] += part;
                remaining -= part;
            }
        }
    }

    private long missing(int i) {
        return claims.get(i).wanted() - allocated[i];
    }

    /** Less than one unit for each weight is left: each unit goes to whoever has the least by weight with it. */
    private void distributeRemainder() {
        Comparator<Integer> leastByWeight = Comparator.comparingDouble(
                i -> (allocated[i] + 1.0) / claims.get(i).weight());
        PriorityQueue<Integer> open =
                new PriorityQueue<>(leastByWeight.thenComparingInt(i -> Math.floorMod(i - rotation, allocated.length)));
        for (int i = 0; i < allocated.length; i++) {
            if (missing(i) > 0) {
                open.add(i);
            }
        }
        while (remaining > 0 && !open.isEmpty()) {
            int next = open.poll();
            allocated[next]++;
            remaining--;
            if (missing(next) > 0) {
                open.add(next);
            }
        }
    }
}
