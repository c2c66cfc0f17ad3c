package merlinlever.zone.server;

import java.util.ArrayList;
import java.util.List;
import merlinlever.RequestHandle;
import merlinlever.WireNamed;
import merlinlever.core.ControllerDriver;
import merlinlever.zone.wire.DnsMessage;
import merlinlever.zone.wire.Tsig;

/** One message that was taken, from its reading until nothing names it any more. */
final class PendingMessage {

    /** What it asks for; the order is that of the tariffs. */
    enum MessageKind implements WireNamed {
        QUERY("query"),
        UPDATE("update"),
        TRANSFER("transfer");

        private final String wireName;

        MessageKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** Code of an operation that has none yet. */
    static final int OPEN = -2;

    final MessageKind kind;
    final ServedZone zone;
    /** Null once it is answered: what is kept of it then is its code. */
    DnsMessage message;

    Tsig.Verification signed;
    ReplyChannel caller;
    RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;
    /** What a repeat of it is known by, or null; and what it repeats. */
    Object mark;

    PendingMessage repeats;
    byte[] markOctets = {};
    boolean answered, begun, calling;
    int code = OPEN;
    List<PendingMessage> sharers = List.of();

    PendingMessage(
            MessageKind kind, ServedZone zone, DnsMessage message, Tsig.Verification signed, ReplyChannel caller) {
        this.kind = kind;
        this.zone = zone;
        this.message = message;
        this.signed = signed;
        this.caller = caller;
    }

    void sharedBy(PendingMessage other) {
        if (sharers.isEmpty()) {
            sharers = new ArrayList<>(2);
        }
        sharers.add(other);
    }
}
