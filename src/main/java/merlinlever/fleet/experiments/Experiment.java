package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * The configuration of an experiment, the same at all backends. It is the experiment's identity: {@link #key} contains a digest of all of
 * it, so that one that is changed under the same name is another experiment, with counts and a result of its own.
 *
 * @param arms 2 to {@value #MAX_ARMS}
 * @param safeArm index of the arm that runs wherever callers are not split
 * @param alpha probability of a wrong winner at most, over the whole experiment and all evaluations
 * @param harmAlpha probability of wrongly calling an arm harmful at most; not lower than {@code alpha}
 * @param minDifference a winner is better by more than this, as a share of the requests or of their highest value
 * @param maxDuration the experiment ends without a winner after callers were split for so long
 * @param leaseDuration for so long a backend goes on splitting after the leader confirmed that the experiment goes on
 * @param maxValue higher values of a request count as this one
 * @param maxDeaths the experiment ends with the safe arm when so many backends have died while splitting
 */
public record Experiment(
        String name,
        int version,
        List<Arm> arms,
        int safeArm,
        double alpha,
        double harmAlpha,
        double minDifference,
        Duration maxDuration,
        Duration leaseDuration,
        double maxValue,
        int maxDeaths) {

    /** The largest number of arms. */
    public static final int MAX_ARMS = 8;

    private static final long DIGEST_SALT = 0x7472_6961_6cL;

    /**
     * What one group of callers gets.
     *
     * @param weight its share of the callers, relative to the sum of all weights
     * @param maxRetryAfter upper bound for the Retry-After that rejected callers get, if this arm changes it
     * @param maxCallDuration upper bound for the time that a downstream call is waited for, if this arm changes it
     * @param preferredRoute which of several usable routes is tried first, if this arm changes it
     */
    public record Arm(
            String name,
            int weight,
            Optional<Duration> maxRetryAfter,
            Optional<Duration> maxCallDuration,
            Optional<String> preferredRoute) {

        /** An arm that changes nothing. */
        public static Arm unchanged(String name, int weight) {
            return new Arm(name, weight, Optional.empty(), Optional.empty(), Optional.empty());
        }

        /** The Retry-After that this arm's callers get in place of the controller's. */
        public Duration retryAfter(Duration ofController) {
            return shorter(maxRetryAfter, ofController);
        }

        /** The time limit of this arm's downstream calls in place of the controller's. */
        public Duration callDuration(Duration ofController) {
            return shorter(maxCallDuration, ofController);
        }

        private static Duration shorter(Optional<Duration> bound, Duration duration) {
            return bound.filter(max -> max.compareTo(duration) < 0).orElse(duration);
        }
    }

    /** Copies the list of arms. */
    public Experiment {
        arms = List.copyOf(arms);
    }

    /** A 64-bit hash of the whole configuration. */
    public long digest() {
        return BucketAssignment.hash(DIGEST_SALT, canonicalText().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The text that the digest is computed of. Backends of all versions of the program agree on it, so it keeps the names that things had in
     * the first one.
     */
    private String canonicalText() {
        StringJoiner armTexts = new StringJoiner(", ", "[", "]");
        for (Arm arm : arms) {
            armTexts.add("Arm[name=" + arm.name + ", weight=" + arm.weight + ", stayAway="
                    + arm.maxRetryAfter.map(Duration::toString).orElse("null") + ", callLongest="
                    + arm.maxCallDuration.map(Duration::toString).orElse("null") + ", route="
                    + arm.preferredRoute.orElse("null") + "]");
        }
        return "Trial[name=" + name + ", version=" + version + ", arms=" + armTexts + ", safe=" + safeArm + ", alpha="
                + alpha + ", harm=" + harmAlpha + ", difference=" + minDifference + ", longest=" + maxDuration
                + ", lease=" + leaseDuration
                + ", valueMost=" + maxValue + ", deaths=" + maxDeaths + "]";
    }

    /** Identifies the experiment in its register, its counts and its assignment of callers. */
    public String key() {
        return name + "@" + version + "-" + String.format("%016x", digest());
    }

    /** The topic of its counts in the replicated store. */
    public String topic() {
        return "trial/" + name;
    }
}
