package merlinlever.experiments;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.StringJoiner;

/**
 * A trial as it is stated, alike at every backend. What is stated is its identity: {@link #key} holds a digest of all of it, so
 * that one changed under the same name is another trial, with counts and an end of its own.
 *
 * @param arms 2 to {@value #MOST_ARMS}
 * @param safe index of the arm that runs where nothing is split
 * @param alpha chance of a wrong winner, at the most, over the whole trial and all looks at it
 * @param harm the same for calling an arm harmful; looser
 * @param difference the winner is better by more than this part: of the operations asked, and of their highest value
 * @param longest of splitting; then it ends without a winner
 * @param lease a backend goes on with its split for so long after whoever leads said that the trial goes on
 * @param valueMost an operation's value counts as this at the most
 * @param deaths so many backends that die while they split end it, with the safe arm
 */
public record Experiment(
        String name,
        int version,
        List<Arm> arms,
        int safe,
        double alpha,
        double harm,
        double difference,
        Duration longest,
        Duration lease,
        double valueMost,
        int deaths) {

    public static final int MOST_ARMS = 8;

    /**
     * @param weight its part of the callers, by all weights
     * @param stayAway the longest advice, or null
     * @param callLongest the longest wait for a call, or null
     * @param route the preferred one, or null
     */
    public record Arm(String name, int weight, Duration stayAway, Duration callLongest, String route) {

        /** The advice of the module, as this arm has it said. */
        public Duration advice(Duration ofModule) {
            return stayAway != null && stayAway.compareTo(ofModule) < 0 ? stayAway : ofModule;
        }

        /** The time for a call that the module gives, as this arm has it. */
        public Duration call(Duration ofModule) {
            return callLongest != null && callLongest.compareTo(ofModule) < 0 ? callLongest : ofModule;
        }
    }

    public Experiment {
        arms = List.copyOf(arms);
    }

    /** Of all that is stated; never the same for two that differ (by 64 bits of hash). */
    public long digest() {
        return BucketAssignment.hash(0x7472_6961_6cL, canonical().getBytes(StandardCharsets.UTF_8));
    }

    /** What the digest is of; backends of all versions agree on it, so it names things as the first of them did. */
    private String canonical() {
        StringJoiner all = new StringJoiner(", ", "[", "]");
        for (Arm arm : arms) {
            all.add("Arm[name=" + arm.name + ", weight=" + arm.weight + ", stayAway=" + arm.stayAway + ", callLongest="
                    + arm.callLongest + ", route=" + arm.route + "]");
        }
        return "Trial[name=" + name + ", version=" + version + ", arms=" + all + ", safe=" + safe + ", alpha=" + alpha
                + ", harm=" + harm + ", difference=" + difference + ", longest=" + longest + ", lease=" + lease
                + ", valueMost=" + valueMost + ", deaths=" + deaths + "]";
    }

    /** Its name everywhere: of its register, its counts and its salt. */
    public String key() {
        return name + "@" + version + "-" + String.format("%016x", digest());
    }

    /** What its counts go under in what the backends share. */
    public String topic() {
        return "trial/" + name;
    }
}
