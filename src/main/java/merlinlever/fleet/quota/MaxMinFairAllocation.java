package merlinlever.fleet.quota;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Weighted max-min fair allocation (Bertsekas and Gallager, Data Networks, section 6.5.2) in whole units. No claim
 * receives more than its demand, and no allocation can grow without reducing another one that is smaller relative to
 * its weight.
 */
public final class MaxMinFairAllocation {

    /**
     * A claim to a part of the capacity.
     *
     * @param wanted maximum amount that the claim can receive
     * @param weight relative weight, at least 1
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
     * Divides the capacity among the claims.
     *
     * @param rotation index of the first claim to receive a part of the remainder of an even division; callers vary the
     *     index to distribute remainders evenly over time
     * @return the amount for each claim, in the order of the claims; the sum is the minimum of the capacity and the
     *     total demand
     */
    public static long[] allocate(long capacity, List<Claim> claims, int rotation) {
        MaxMinFairAllocation allocation = new MaxMinFairAllocation(capacity, claims, rotation);
        allocation.allocateAll();
        return allocation.allocated;
    }

    /**
     * Increases all unsatisfied claims in proportion to their weights, until the next claim is satisfied, and repeats.
     */
    private void allocateAll() {
        boolean[] satisfied = new boolean[allocated.length];
        while (remaining > 0) {
            long unsatisfiedWeight = 0;
            for (int i = 0; i < allocated.length; i++) {
                satisfied[i] = allocated[i] >= claims.get(i).wanted();
                unsatisfiedWeight += satisfied[i] ? 0 : claims.get(i).weight();
            }
            if (unsatisfiedWeight == 0) {
                return;
            }
            long unitsPerWeight = remaining / unsatisfiedWeight;
            if (unitsPerWeight == 0) {
                distributeRemainder();
                return;
            }
            increaseUnsatisfied(satisfied, commonIncrease(satisfied, unitsPerWeight));
        }
    }

    /** Returns the increase per unit of weight that satisfies the next claim, at least 1 and at most unitsPerWeight. */
    private long commonIncrease(boolean[] satisfied, long unitsPerWeight) {
        long increasePerWeight = unitsPerWeight;
        for (int i = 0; i < allocated.length; i++) {
            if (!satisfied[i]) {
                increasePerWeight = Math.min(
                        increasePerWeight,
                        Math.max(1, unmetDemand(i) / claims.get(i).weight()));
            }
        }
        return increasePerWeight;
    }

    private void increaseUnsatisfied(boolean[] satisfied, long unitsPerWeight) {
        for (int i = 0; i < allocated.length && remaining > 0; i++) {
            if (!satisfied[i]) {
                long increase = Math.min(
                        Math.min(remaining, unitsPerWeight * claims.get(i).weight()), unmetDemand(i));
                allocated[i] += increase;
                remaining -= increase;
            }
        }
    }

    private long unmetDemand(int i) {
        return claims.get(i).wanted() - allocated[i];
    }

    /**
     * Distributes a remainder of less than one unit per unit of weight. Each unit is allocated to the claim whose
     * amount including the unit is smallest relative to its weight.
     */
    private void distributeRemainder() {
        Comparator<Integer> leastByWeight = Comparator.comparingDouble(
                i -> (allocated[i] + 1.0) / claims.get(i).weight());
        PriorityQueue<Integer> unsatisfied =
                new PriorityQueue<>(leastByWeight.thenComparingInt(i -> Math.floorMod(i - rotation, allocated.length)));
        for (int i = 0; i < allocated.length; i++) {
            if (unmetDemand(i) > 0) {
                unsatisfied.add(i);
            }
        }
        while (remaining > 0 && !unsatisfied.isEmpty()) {
            int next = unsatisfied.poll();
            allocated[next]++;
            remaining--;
            if (unmetDemand(next) > 0) {
                unsatisfied.add(next);
            }
        }
    }
}
