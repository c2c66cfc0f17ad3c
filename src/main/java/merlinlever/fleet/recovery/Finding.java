package merlinlever.fleet.recovery;

import merlinlever.common.WireNamed;

/**
 * One piece of the persisted state, and why it is relied on or not. Written for operators.
 *
 * @param piece which piece
 * @param disposition what becomes of it
 * @param reason why
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

        /** The name in what {@code fleet recover} prints. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** What becomes of a piece. */
    public enum Disposition implements WireNamed {
        /** It is relied on as it is. */
        KEPT("kept"),
        /** It counts less the older it is. */
        AGED("aged"),
        /** It cannot be relied on. */
        DISCARDED("thrown away"),
        /** There is none. */
        ABSENT("absent");

        private final String wireName;

        Disposition(String wireName) {
            this.wireName = wireName;
        }

        /** The name in what {@code fleet recover} prints. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** The line that {@code fleet recover} prints. */
    public String describe() {
        return piece.wireName() + ": " + disposition.wireName() + ", " + reason;
    }

    /** The line of the log. */
    public String toLogLine() {
        return "recovery-state-found piece=" + hyphenated(piece.wireName()) + " disposition="
                + hyphenated(disposition.wireName()) + " reason=\"" + reason + "\"";
    }

    private static String hyphenated(String name) {
        return name.replace(' ', '-');
    }
}
