package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Assigns callers to arms: a hash of the caller's key, salted with the whole configuration of the experiment, selects one of
 * {@value #BUCKET_COUNT} buckets, and each arm has its part of these. So a caller has the same arm at all backends and times, callers of one
 * arm are distributed anew in the next experiment, and every bucket holds a random sample of callers: the unit that the test counts by.
 */
public final class BucketAssignment {

    /** Divisor of all shares of arms. */
    public static final int BUCKET_COUNT = 256;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** The bucket is in the highest eight bits of the hash. */
    private static final int BUCKET_SHIFT = 56;

    private final long salt;
    private final int[] armOfBucket = new int[BUCKET_COUNT];

    /** Divides the buckets among the arms by their weights. */
    public BucketAssignment(Experiment experiment) {
        salt = experiment.digest();
        long totalWeight =
                experiment.arms().stream().mapToLong(Experiment.Arm::weight).sum();
        long weight = 0;
        int from = 0;
        for (int arm = 0; arm < experiment.arms().size(); arm++) {
            weight += experiment.arms().get(arm).weight();
            int to = (int) Math.round((double) weight * BUCKET_COUNT / totalWeight);
            Arrays.fill(armOfBucket, from, to, arm);
            from = to;
        }
    }

    /** The salted hash of a caller's key. */
    public long hash(String caller) {
        return hash(salt, caller.getBytes(StandardCharsets.UTF_8));
    }

    /** The bucket of a caller's hash. */
    public static int bucket(long hash) {
        return (int) (hash >>> BUCKET_SHIFT);
    }

    /** The arm that a bucket belongs to. */
    public int armOfBucket(int bucket) {
        return armOfBucket[bucket];
    }

    /** The arm that a caller belongs to. */
    public int arm(String caller) {
        return armOfBucket[bucket(hash(caller))];
    }

    /** The share of all callers that an arm has, from 0 to 1. */
    public double share(int arm) {
        return Arrays.stream(armOfBucket).filter(other -> other == arm).count() / (double) BUCKET_COUNT;
    }

    /**
     * FNV-1a (G. Fowler, L. C. Noll, K.-P. Vo) with the finalizer of SplittableRandom (G. Steele et al., 2014), as the high bits of FNV alone
     * are badly mixed.
     */
    static long hash(long salt, byte[] bytes) {
        long hash = mix(salt ^ FNV_OFFSET_BASIS);
        for (byte next : bytes) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(mix(hash) + salt);
    }

    /** The finalizer of SplittableRandom: a bijection whose output bits depend on all input bits. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
