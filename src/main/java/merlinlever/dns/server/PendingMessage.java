package merlinlever.dns.server;

import java.util.ArrayList;
import java.util.List;
import merlinlever.common.WireNamed;
import merlinlever.controller.RequestHandle;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;
import merlinlever.driver.ControllerDriver;

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
    static final int NO_CODE = -2;

    final MessageKind kind;
    final ServedZone zone;
    /** Null once it is answered: what is kept of it then is its code. */
    DnsMessage message;

    Tsig.Verification verification;
    ReplyChannel replyChannel;
    RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;
    /** What a repeat of it is known by, or null; and what it repeats. */
    Object replayKey;

    PendingMessage original;
    byte[] replayKeyBytes = {};
    boolean isAnswered, isStarted, isCalling;
    int code = NO_CODE;
    List<PendingMessage> duplicates = List.of();

    PendingMessage(
            MessageKind kind,
            ServedZone zone,
            DnsMessage message,
            Tsig.Verification verification,
            ReplyChannel replyChannel) {
        this.kind = kind;
        this.zone = zone;
        this.message = message;
        this.verification = verification;
        this.replyChannel = replyChannel;
    }

    void addDuplicate(PendingMessage other) {
        if (duplicates.isEmpty()) {
            duplicates = new ArrayList<>(2);
        }
        duplicates.add(other);
    }
}
