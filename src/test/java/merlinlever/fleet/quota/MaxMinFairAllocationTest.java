package merlinlever.fleet.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.fleet.quota.MaxMinFairAllocation.Claim;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class MaxMinFairAllocationTest {

    @Property(tries = 1000, seed = "27")
    void allocationIsMaxMinFairByWeight(
            @ForAll @LongRange(min = 0, max = 500) long capacity,
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 40) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] wanted = random.longs(count, 0, 40).toArray();
        int[] weights = random.ints(count, 1, 5).toArray();
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(new Claim(wanted[i], weights[i]));
        }
        long[] allocated = MaxMinFairAllocation.allocate(capacity, claims, random.nextInt(count));
        assertEquals(
                Math.min(capacity, Arrays.stream(wanted).sum()),
                Arrays.stream(allocated).sum(),
                "total allocation is not the minimum of capacity and total demand");
        for (int i = 0; i < count; i++) {
            assertTrue(allocated[i] >= 0 && allocated[i] <= wanted[i]);
            for (int k = 0; k < count; k++) {
                // Relative to its weight, an unsatisfied claim receives no less than any other claim, up to one unit.
                assertTrue(
                        allocated[i] == wanted[i]
                                || (allocated[i] + 1.0) / weights[i] >= (allocated[k] - 1.0) / weights[k],
                        i + " received " + allocated[i] + " of " + wanted[i] + " with weight " + weights[i] + ", " + k
                                + " received " + allocated[k] + " with weight " + weights[k]);
            }
        }
    }
}
