package merlinlever.fleet.experiments;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The result of an experiment, stored in a write-once register for the whole fleet.
 *
 * @param arm the arm that applies to all callers after the end of the experiment
 * @param reason human-readable reason in one line
 */
public record ExperimentResult(StoppingDecision.Kind kind, int arm, String reason) {

    private static final StoppingDecision.Kind[] KINDS = StoppingDecision.Kind.values();
    private static final int FORMAT = 1;
    private static final int MAX_REASON_LENGTH = 200;

    byte[] encode() {
        VarInts out = new VarInts();
        out.put(FORMAT);
        out.put(kind.ordinal());
        out.put(arm);
        String text = reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length()));
        for (byte character : text.getBytes(StandardCharsets.US_ASCII)) {
            out.put(character);
        }
        return out.toByteArray();
    }

    /**
     * Decodes the result in a register. Any content of the register ends the experiment: content in the unknown format
     * of a later version of the program selects the safe arm.
     */
    static ExperimentResult decode(Experiment experiment, byte[] bytes) {
        try {
            return decodeKnownFormat(experiment, new VarInts(bytes));
        } catch (IllegalArgumentException e) {
            return new ExperimentResult(
                    StoppingDecision.Kind.INVALID,
                    experiment.safeArm(),
                    "the register holds a result in an unknown format");
        }
    }

    private static ExperimentResult decodeKnownFormat(Experiment experiment, VarInts in) {
        if (in.next(FORMAT) != FORMAT) {
            throw new IllegalArgumentException("unknown format");
        }
        StoppingDecision.Kind kind = KINDS[(int) in.next(KINDS.length - 1)];
        int arm = (int) in.next(experiment.arms().size() - 1);
        StringBuilder reason = new StringBuilder();
        while (!in.isAtEnd()) {
            reason.append((char) in.next(127));
        }
        return new ExperimentResult(kind, arm, reason.toString());
    }

    static Optional<ExperimentResult> decode(Experiment experiment, Optional<byte[]> register) {
        return register.map(bytes -> decode(experiment, bytes));
    }
}
