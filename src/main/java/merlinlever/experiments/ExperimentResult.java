package merlinlever.experiments;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The end of a trial as it stands in its register: written once for the whole fleet, and never changed. */
public record ExperimentResult(StoppingDecision.Kind kind, int arm, String why) {

    private static final int FORM = 1;
    private static final int MOST_WHY = 200;

    byte[] write() {
        VarInts out = new VarInts();
        out.put(FORM);
        out.put(kind.ordinal());
        out.put(arm);
        byte[] text = why.substring(0, Math.min(MOST_WHY, why.length())).getBytes(StandardCharsets.US_ASCII);
        for (byte octet : text) {
            out.put(octet);
        }
        return out.written();
    }

    /** Whatever stands there is the end; what is not understood (of a later program) runs the safe arm. */
    static ExperimentResult read(Experiment trial, byte[] octets) {
        VarInts in = new VarInts(octets);
        try {
            if (in.number(FORM) == FORM) {
                StoppingDecision.Kind kind =
                        StoppingDecision.Kind.values()[(int) in.number(StoppingDecision.Kind.values().length - 1)];
                int arm = (int) in.number(trial.arms().size() - 1);
                StringBuilder why = new StringBuilder();
                while (!in.over()) {
                    why.append((char) in.number(127));
                }
                return new ExperimentResult(kind, arm, why.toString());
            }
        } catch (IllegalArgumentException e) {
            // Said below.
        }
        return new ExperimentResult(
                StoppingDecision.Kind.VOID, trial.safe(), "the register holds what is not understood");
    }

    static Optional<ExperimentResult> of(Experiment trial, Optional<byte[]> written) {
        return written.map(octets -> read(trial, octets));
    }
}
