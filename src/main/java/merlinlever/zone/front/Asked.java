package merlinlever.zone.front;

import java.util.ArrayList;
import java.util.List;
import merlinlever.Operation;
import merlinlever.WireNamed;
import merlinlever.core.Conductor;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;

/** One message that was taken, from its reading until nothing names it any more. */
final class Asked {

    /** What it asks for; the order is that of the tariffs. */
    enum Kind implements WireNamed {
        QUERY("query"),
        UPDATE("update"),
        TRANSFER("transfer");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Code of an operation that has none yet. */
    static final int OPEN = -2;

    final Kind kind;
    final Served zone;
    /** Null once it is answered: what is kept of it then is its code. */
    Message message;

    Tsig.Verdict signed;
    Caller caller;
    Operation handle = Conductor.UNKNOWN;
    /** What a repeat of it is known by, or null; and what it repeats. */
    Object mark;

    Asked repeats;
    byte[] markOctets = {};
    boolean answered, begun, calling;
    int code = OPEN;
    List<Asked> sharers = List.of();

    Asked(Kind kind, Served zone, Message message, Tsig.Verdict signed, Caller caller) {
        this.kind = kind;
        this.zone = zone;
        this.message = message;
        this.signed = signed;
        this.caller = caller;
    }

    void sharedBy(Asked other) {
        if (sharers.isEmpty()) {
            sharers = new ArrayList<>(2);
        }
        sharers.add(other);
    }
}
