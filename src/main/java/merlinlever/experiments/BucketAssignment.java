package merlinlever.experiments;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Which caller goes by which arm: a hash of its key, salted by all that the trial states, falls into one of {@value #BUCKETS}
 * buckets, and each arm has its part of these. So a caller has one arm at every backend and at all times, callers that met in
 * one trial are scattered anew in the next, and every bucket of every arm holds callers drawn alike: the unit that the test
 * counts by.
 */
public final class BucketAssignment {

    public static final int BUCKETS = 256;

    private final long salt;
    private final int[] armOf = new int[BUCKETS];

    public BucketAssignment(Experiment trial) {
        salt = trial.digest();
        long all = trial.arms().stream().mapToLong(Experiment.Arm::weight).sum();
        long weight = 0;
        int from = 0;
        for (int arm = 0; arm < trial.arms().size(); arm++) {
            weight += trial.arms().get(arm).weight();
            int to = (int) Math.round((double) weight * BUCKETS / all);
            Arrays.fill(armOf, from, to, arm);
            from = to;
        }
    }

    /** Of the caller's key: the bucket is in its highest eight bits. */
    public long hash(String caller) {
        return hash(salt, caller.getBytes(StandardCharsets.UTF_8));
    }

    public static int bucket(long hash) {
        return (int) (hash >>> 56);
    }

    /** Of a bucket. */
    public int arm(int bucket) {
        return armOf[bucket];
    }

    public int arm(String caller) {
        return armOf[bucket(hash(caller))];
    }

    /** The part of all callers that an arm has. */
    public double part(int arm) {
        return Arrays.stream(armOf).filter(each -> each == arm).count() / (double) BUCKETS;
    }

    /** FNV-1a (G. Fowler, L. C. Noll, K.-P. Vo) with the finish of SplittableRandom (G. Steele et al., 2014), as FNV's high bits mix badly. */
    static long hash(long salt, byte[] octets) {
        long hash = mix(salt ^ 0xcbf29ce484222325L);
        for (byte octet : octets) {
            hash = (hash ^ (octet & 0xff)) * 0x100000001b3L;
        }
        return mix(mix(hash) + salt);
    }

    static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
