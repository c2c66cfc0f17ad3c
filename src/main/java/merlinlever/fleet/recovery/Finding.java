package merlinlever.fleet.recovery;

import merlinlever.common.WireNamed;

/**
 * The assessment of one piece of the persisted state, for operators.
 *
 * @param piece the piece of the state
 * @param disposition how far the piece is trusted
 * @param reason explanation of the disposition
 */
public record Finding(Piece piece, Disposition disposition, String reason) {

    /** The pieces of the persisted state. */
    public enum Piece implements WireNamed {
        INCARNATION("incarnation"),
        TERM("term"),
        NON_IDEMPOTENT_REQUESTS("keyed work"),
        CAPACITY("capacity"),
        PEERS("peers");

        private final String wireName;

        Piece(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the output of {@code fleet recover}. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** How far a piece is trusted. */
    public enum Disposition implements WireNamed {
        /** The piece is trusted. */
        KEPT("kept"),
        /** The piece is trusted with a weight that decreases with its age. */
        AGED("aged"),
        /** The piece is not trusted. */
        DISCARDED("thrown away"),
        /** The state does not contain the piece. */
        ABSENT("absent");

        private final String wireName;

        Disposition(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the output of {@code fleet recover}. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Returns the line that {@code fleet recover} prints. */
    public String describe() {
        return piece.wireName() + ": " + disposition.wireName() + ", " + reason;
    }

    /** Returns the log line of the finding. */
    public String toLogLine() {
        return "recovery-state-found piece=" + hyphenated(piece.wireName()) + " disposition="
                + hyphenated(disposition.wireName()) + " reason=\"" + reason + "\"";
    }

    private static String hyphenated(String name) {
        return name.replace(' ', '-');
    }
}
