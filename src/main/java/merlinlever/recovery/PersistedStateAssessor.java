package merlinlever.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import merlinlever.WireNamed;

/**
 * What a new life believes of what the one before left. Believed is only what was forced to the disk and is this
 * process's own; what might have happened after the last force is taken as having happened.
 */
public final class PersistedStateAssessor {

    /** What became of one piece. */
    public enum Disposition implements WireNamed {
        KEPT("kept"),
        AGED("aged"),
        THROWN_AWAY("thrown away"),
        ABSENT("absent");

        private final String wireName;

        Disposition(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** One piece and why it is believed or not, for people. */
    public record Finding(String piece, Disposition disposition, String reason) {
        public String describe() {
            return piece + ": " + disposition.wireName() + ", " + reason;
        }
    }

    /**
     * What the new life begins with.
     *
     * @param incarnation its own first, above all that may have been told
     * @param highestTerm the highest that may have been promised
     * @param nonIdempotentUntilUnixMs until when the life before may have begun keyed work, by the Unix clock; {@link #UNKNOWN} where
     *        nothing that can be trusted says so
     * @param capacityEstimate a starting guess, 0 for none
     * @param estimateWeight of the guess, in completions of operations
     */
    public record TrustedState(
            List<Finding> findings,
            long incarnation,
            long highestTerm,
            long nonIdempotentUntilUnixMs,
            double capacityEstimate,
            double estimateWeight,
            List<String> peerAddresses) {}

    public static final long UNKNOWN = Long.MIN_VALUE;
    /** A guess of the capacity counts as so many completions, half of it for each span that the process was down. */
    private static final double WEIGHT = 8;

    private static final Duration HALF_LIFE = Duration.ofMinutes(5);

    private PersistedStateAssessor() {}

    /**
     * Judges what was found.
     *
     * @param left what the folder held, or null
     * @param spoilt why it could not be read, or null
     * @param owner who asks
     */
    public static TrustedState assess(PersistedState left, String spoilt, String owner, long unixNow) {
        List<Finding> findings = new ArrayList<>();
        if (left == null) {
            Disposition belief = spoilt == null ? Disposition.ABSENT : Disposition.THROWN_AWAY;
            String why = spoilt == null ? "the folder holds none" : spoilt;
            findings.add(
                    new Finding("incarnation", belief, why + "; starts at 1 and rises above what others have heard"));
            findings.add(new Finding(
                    "term",
                    belief,
                    why + "; leases from before are held lost, and a whole one passes before anything is promised"));
            findings.add(new Finding("keyed work", belief, why + "; may have been begun until this start"));
            findings.add(new Finding("capacity", belief, why + "; learned anew"));
            findings.add(new Finding("peers", belief, why + "; those that the configuration names are asked"));
            return new TrustedState(findings, 1, 0, UNKNOWN, 0, 0, List.of());
        }
        long incarnation = left.reservedIncarnation() + 1;
        if (!left.owner().equals(owner)) {
            String why = "it is that of " + left.owner() + ", not of " + owner;
            findings.add(new Finding(
                    "incarnation",
                    Disposition.KEPT,
                    "above " + left.reservedIncarnation() + ", as a higher one does no harm; " + why));
            findings.add(new Finding("term", Disposition.KEPT, "none under " + left.highestTerm() + " is promised; " + why));
            findings.add(new Finding(
                    "keyed work", Disposition.THROWN_AWAY, why + "; may have been begun here until this start"));
            findings.add(new Finding("capacity", Disposition.THROWN_AWAY, why));
            findings.add(new Finding("peers", Disposition.THROWN_AWAY, why));
            return new TrustedState(findings, incarnation, left.highestTerm(), UNKNOWN, 0, 0, List.of());
        }
        findings.add(new Finding(
                "incarnation",
                Disposition.KEPT,
                "up to " + left.reservedIncarnation() + " may have been told, goes on at " + incarnation));
        findings.add(new Finding(
                "term",
                Disposition.KEPT,
                "none under " + left.highestTerm() + " is promised; leases from before are held lost"));
        long down = unixNow - left.writtenAtUnixMs();
        boolean back = down < 0;
        long keyedUntil = back ? UNKNOWN : left.nonIdempotentUntilUnixMs();
        findings.add(
                back
                        ? new Finding(
                                "keyed work",
                                Disposition.THROWN_AWAY,
                                "the clock went back by " + -down
                                        + " ms across the outage; may have been begun until this start")
                        : new Finding(
                                "keyed work",
                                Disposition.KEPT,
                                "may have been begun until " + Math.max(0, unixNow - keyedUntil) + " ms ago"));
        double weight = 0;
        if (left.learnedCapacity() <= 0) {
            findings.add(new Finding("capacity", Disposition.ABSENT, "none was learned"));
        } else if (back) {
            findings.add(new Finding("capacity", Disposition.THROWN_AWAY, "how old it is cannot be told"));
        } else {
            weight = WEIGHT * Math.pow(0.5, down / (double) HALF_LIFE.toMillis());
            findings.add(new Finding(
                    "capacity",
                    Disposition.AGED,
                    String.format(
                            Locale.ROOT,
                            "%.1f operations, %d ms old, counts as %.1f completions",
                            left.learnedCapacity(),
                            down,
                            weight)));
        }
        findings.add(new Finding(
                "peers",
                left.peerAddresses().isEmpty() ? Disposition.ABSENT : Disposition.KEPT,
                left.peerAddresses().size() + " addresses to ask, nothing more is believed of them"));
        return new TrustedState(
                findings, incarnation, left.highestTerm(), keyedUntil, back ? 0 : left.learnedCapacity(), weight, left.peerAddresses());
    }
}
