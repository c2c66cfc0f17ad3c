package merlinlever.dns.server;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import merlinlever.common.WireNamed;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/** A message that was submitted to the overload controller, until the controller releases it. Used on the event loop. */
final class PendingMessage {

    /** The kinds of message; each is a priority class of the controller, in this order. */
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

    private final MessageKind kind;
    private final ServedZone zone;
    private final ByteArrayKey replayKey;
    private final PendingMessage original;
    private DnsRequest request;
    private RequestHandle handle = ControllerDriver.UNKNOWN_REQUEST;
    private boolean isAnswered;
    private boolean isStarted;
    private boolean isCalling;
    private OptionalInt code = OptionalInt.empty();
    private List<PendingMessage> duplicates = List.of();

    PendingMessage(MessageKind kind, ServedZone zone, DnsRequest request) {
        this(kind, zone, request, null, null);
    }

    private PendingMessage(
            MessageKind kind, ServedZone zone, DnsRequest request, ByteArrayKey replayKey, PendingMessage original) {
        this.kind = kind;
        this.zone = zone;
        this.request = request;
        this.replayKey = replayKey;
        this.original = original;
    }

    /**
     * An update.
     *
     * @param original the pending message that it duplicates, or null
     */
    static PendingMessage ofUpdate(
            ServedZone zone, DnsRequest request, ByteArrayKey replayKey, PendingMessage original) {
        return new PendingMessage(MessageKind.UPDATE, zone, request, replayKey, original);
    }

    MessageKind kind() {
        return kind;
    }

    ServedZone zone() {
        return zone;
    }

    /** What duplicates of an update have in common; null for other kinds. */
    ByteArrayKey replayKey() {
        return replayKey;
    }

    /** The message that this one duplicates, or null. */
    PendingMessage original() {
        return original;
    }

    /** Null once the message is not needed any more. */
    DnsRequest request() {
        return request;
    }

    /** The message is not needed any more; what remains is the outcome. */
    void releaseRequest() {
        request = null;
    }

    RequestHandle handle() {
        return handle;
    }

    void setHandle(RequestHandle registered) {
        handle = registered;
    }

    /** Whether it was answered, or nobody waits for the response. */
    boolean isAnswered() {
        return isAnswered;
    }

    void markAnswered() {
        isAnswered = true;
    }

    boolean isStarted() {
        return isStarted;
    }

    void markStarted() {
        isStarted = true;
    }

    /** Whether an update is on its way to the disk, or a transfer to its reader. */
    boolean isCalling() {
        return isCalling;
    }

    void setCalling(boolean calling) {
        isCalling = calling;
    }

    /** The response code; empty while it is not decided. */
    OptionalInt code() {
        return code;
    }

    void decideCode(int decided) {
        code = OptionalInt.of(decided);
    }

    void addDuplicate(PendingMessage other) {
        if (duplicates.isEmpty()) {
            duplicates = new ArrayList<>(2);
        }
        duplicates.add(other);
    }

    /** The duplicates that wait for the outcome; none wait afterwards. */
    List<PendingMessage> takeDuplicates() {
        List<PendingMessage> taken = duplicates;
        duplicates = List.of();
        return taken;
    }
}
