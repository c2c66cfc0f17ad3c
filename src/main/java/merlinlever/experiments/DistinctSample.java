package merlinlever.experiments;

import java.util.TreeSet;

/**
 * Some of the callers, each once, with the arm that it was seen in: all whose second hash is under a threshold that is halved
 * whenever more than {@value #MOST} are under it (P. Gibbons, Distinct Sampling, 2001). Which are kept hangs on the callers
 * alone, so samples merge alike in any order and any number of times, and a caller that asks a thousand times is one.
 */
final class DistinctSample {

    static final int MOST = 1024;

    private int level;
    /** The hash in the upper bits, the arm in the lowest eight: one that was seen in two arms is in it twice. */
    private final TreeSet<Long> callers = new TreeSet<>();

    void seen(long hash, int arm) {
        add((BucketAssignment.mix(hash ^ 0x5851f42d4c957f2dL) >>> 32) << 8 | arm);
    }

    private void add(long caller) {
        if (caller >>> 8 < 1L << (32 - level) && callers.add(caller)) {
            while (callers.size() > MOST) {
                raise(level + 1);
            }
        }
    }

    private void raise(int to) {
        level = to;
        callers.tailSet(1L << (40 - level)).clear();
    }

    void add(DistinctSample other) {
        if (other.level > level) {
            raise(other.level);
        }
        other.callers.forEach(this::add);
    }

    /** How often the threshold was halved. */
    int level() {
        return level;
    }

    long[] counts(int arms) {
        long[] counts = new long[arms];
        callers.forEach(caller -> counts[(int) (caller & 0xff)]++);
        return counts;
    }

    void write(VarInts out) {
        out.put(level);
        out.put(callers.size());
        long last = 0;
        for (long caller : callers) {
            out.put(caller - last);
            last = caller;
        }
    }

    static DistinctSample read(VarInts in, int arms) {
        DistinctSample sample = new DistinctSample();
        sample.level = (int) in.number(32);
        long n = in.number(MOST);
        long caller = 0;
        for (long i = 0; i < n; i++) {
            caller += in.number(1L << 40);
            if (caller >>> 8 >= 1L << (32 - sample.level) || (caller & 0xff) >= arms) {
                throw new IllegalArgumentException("a caller that is not of the sample");
            }
            sample.callers.add(caller);
        }
        return sample;
    }
}
