package merlinlever.fleet.experiments;

import java.util.TreeSet;

/**
 * A sample of distinct callers with the arms in which they were observed. The sample contains all callers whose second
 * hash is below a threshold, and the threshold is halved whenever the sample exceeds {@value #MAX_CALLERS} callers (P.
 * Gibbons, Distinct Sampling, 2001). The sample depends only on the set of callers, so samples can be merged in any
 * order and repeatedly, and each caller counts once however many requests the caller sent.
 */
final class DistinctSample {

    static final int MAX_CALLERS = 1024;

    private static final long SECOND_HASH_SALT = 0x5851f42d4c957f2dL;
    private static final int ARM_BITS = 8;
    private static final int ARM_MASK = 0xff;
    private static final int HASH_BITS = 32;

    private int level;
    /**
     * The second hash in the upper bits and the arm in the lowest eight; a caller observed in two arms has two entries.
     */
    private final TreeSet<Long> callers = new TreeSet<>();

    /** @param hash the caller's hash ({@link BucketAssignment#hash(String)}) */
    void add(long hash, int arm) {
        long secondHash = BucketAssignment.mix(hash ^ SECOND_HASH_SALT) >>> HASH_BITS;
        addCaller((secondHash << ARM_BITS) | arm);
    }

    private void addCaller(long caller) {
        if (isUnderThreshold(caller) && callers.add(caller)) {
            while (callers.size() > MAX_CALLERS) {
                raiseLevel(level + 1);
            }
        }
    }

    private boolean isUnderThreshold(long caller) {
        return caller >>> ARM_BITS < 1L << (HASH_BITS - level);
    }

    private void raiseLevel(int newLevel) {
        level = newLevel;
        callers.tailSet(1L << (HASH_BITS + ARM_BITS - level)).clear();
    }

    void merge(DistinctSample other) {
        if (other.level > level) {
            raiseLevel(other.level);
        }
        other.callers.forEach(this::addCaller);
    }

    /** Returns how often the threshold was halved. */
    int level() {
        return level;
    }

    /** Returns the number of sampled callers of each arm. */
    long[] callersByArm(int armCount) {
        long[] counts = new long[armCount];
        callers.forEach(caller -> counts[(int) (caller & ARM_MASK)]++);
        return counts;
    }

    void encodeTo(VarInts out) {
        out.put(level);
        out.put(callers.size());
        long previous = 0;
        for (long caller : callers) {
            out.put(caller - previous);
            previous = caller;
        }
    }

    /** @throws IllegalArgumentException if the input is not an encoding by {@link #encodeTo} */
    static DistinctSample decode(VarInts in, int armCount) {
        DistinctSample sample = new DistinctSample();
        sample.level = (int) in.next(HASH_BITS);
        long count = in.next(MAX_CALLERS);
        long caller = 0;
        for (long i = 0; i < count; i++) {
            caller += in.next(1L << (HASH_BITS + ARM_BITS));
            if (!sample.isUnderThreshold(caller) || (caller & ARM_MASK) >= armCount) {
                throw new IllegalArgumentException("a caller is over the sampling threshold or has an unknown arm");
            }
            sample.callers.add(caller);
        }
        return sample;
    }
}
