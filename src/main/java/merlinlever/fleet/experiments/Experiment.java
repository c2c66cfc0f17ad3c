package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * The configuration of an experiment, the same at all backends. The configuration identifies the experiment:
 * {@link #key} contains a digest of all settings, so a changed configuration under the same name is a different
 * experiment with separate counts and a separate result.
 *
 * @param arms the arms, from 2 to {@value #MAX_ARMS}
 * @param safeArm index of the arm that applies to all callers while they are not split among the arms
 * @param alpha maximum probability of a false winner over the whole experiment and all evaluations
 * @param harmAlpha maximum probability of a false report of harm; at least {@code alpha}
 * @param minDifference difference that a winner has to exceed, as a share of the requests or of the maximum value
 * @param maxDuration the experiment ends without a winner after callers have been split for this duration
 * @param leaseDuration how long a backend may split callers after a lease request that the leader granted
 * @param maxValue upper bound at which the value of a request is capped
 * @param maxCrashes the experiment ends with the safe arm after this number of backend crashes while splitting callers
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
        int maxCrashes) {

    /** Maximum number of arms. */
    public static final int MAX_ARMS = 8;

    private static final long DIGEST_SALT = 0x7472_6961_6cL;

    /**
     * The settings that apply to one group of callers.
     *
     * @param weight the group's share of the callers, relative to the sum of all weights
     * @param maxRetryAfter upper bound of the Retry-After sent to rejected callers, if the arm sets one
     * @param maxCallDuration upper bound of the timeout of a downstream call, if the arm sets one
     * @param preferredRoute the route that is tried first if several routes are usable, if the arm sets one
     */
    public record Arm(
            String name,
            int weight,
            Optional<Duration> maxRetryAfter,
            Optional<Duration> maxCallDuration,
            Optional<String> preferredRoute) {

        /** Creates an arm that changes no setting. */
        public static Arm unchanged(String name, int weight) {
            return new Arm(name, weight, Optional.empty(), Optional.empty(), Optional.empty());
        }

        /** Returns the Retry-After for callers of this arm, at most the one that the controller chose. */
        public Duration retryAfter(Duration controllerRetryAfter) {
            return shorter(maxRetryAfter, controllerRetryAfter);
        }

        /** Returns the timeout of downstream calls in this arm, at most the one that the controller chose. */
        public Duration callDuration(Duration controllerTimeout) {
            return shorter(maxCallDuration, controllerTimeout);
        }

        private static Duration shorter(Optional<Duration> bound, Duration duration) {
            return bound.filter(max -> max.compareTo(duration) < 0).orElse(duration);
        }
    }

    /** Copies the list of arms. */
    public Experiment {
        arms = List.copyOf(arms);
    }

    /** Returns a 64-bit hash of all settings. */
    public long digest() {
        return BucketAssignment.hash(DIGEST_SALT, canonicalText().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the input of the digest. Backends of all versions of the program have to compute the same text, so the
     * names of the first version are kept.
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
                + ", valueMost=" + maxValue + ", deaths=" + maxCrashes + "]";
    }

    /** Returns the identifier of the experiment in its register, its counts and its assignment of callers. */
    public String key() {
        return name + "@" + version + "-" + String.format("%016x", digest());
    }

    /** Returns the topic of the experiment's counts in the replicated store. */
    public String topic() {
        return "trial/" + name;
    }
}
