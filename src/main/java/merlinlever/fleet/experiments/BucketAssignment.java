package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Assigns callers to arms: a hash of the caller's key, salted with a digest of the experiment's configuration, selects
 * one of {@value #BUCKET_COUNT} buckets, and each arm owns a range of buckets. A caller therefore has the same arm at
 * all backends at all times, and the next experiment redistributes the callers of each arm. Every bucket holds a random
 * sample of callers and is the sampling unit of the statistical test.
 */
public final class BucketAssignment {

    /** Number of buckets that the arms share. */
    public static final int BUCKET_COUNT = 256;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** The highest eight bits of the hash are the bucket. */
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

    /** Returns the salted hash of a caller's key. */
    public long hash(String caller) {
        return hash(salt, caller.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the bucket of a caller's hash. */
    public static int bucket(long hash) {
        return (int) (hash >>> BUCKET_SHIFT);
    }

    /** Returns the arm that owns a bucket. */
    public int armOfBucket(int bucket) {
        return armOfBucket[bucket];
    }

    /** Returns the arm of a caller. */
    public int arm(String caller) {
        return armOfBucket[bucket(hash(caller))];
    }

    /** Returns an arm's share of all buckets, from 0 to 1. */
    public double share(int arm) {
        return Arrays.stream(armOfBucket).filter(other -> other == arm).count() / (double) BUCKET_COUNT;
    }

    /**
     * Computes FNV-1a (G. Fowler, L. C. Noll, K.-P. Vo) with the finalizer of SplittableRandom (G. Steele et al.,
     * 2014), because FNV alone mixes the high bits poorly.
     */
    static long hash(long salt, byte[] bytes) {
        long hash = mix(salt ^ FNV_OFFSET_BASIS);
        for (byte next : bytes) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(mix(hash) + salt);
    }

    /** Applies the finalizer of SplittableRandom, a bijection whose output bits depend on all input bits. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
