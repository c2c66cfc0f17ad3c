package merlinlever.dns.server;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import merlinlever.common.WireNamed;
import merlinlever.controller.RequestHandle;
import merlinlever.driver.ControllerDriver;

/** A message that the overload controller manages, from submission to release. Used on the event loop. */
final class PendingMessage {

    /** Kinds of message. The ordinal of a kind is the index of its priority class. */
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
     * Creates a pending update.
     *
     * @param original the pending update that the message duplicates, or null
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

    /** Returns the key that identifies duplicates of an update; null for other kinds. */
    ByteArrayKey replayKey() {
        return replayKey;
    }

    /** Returns the message that this message duplicates, or null. */
    PendingMessage original() {
        return original;
    }

    /** Returns the request, or null after {@link #releaseRequest}. */
    DnsRequest request() {
        return request;
    }

    /** Releases the memory of the request; only the outcome is kept. */
    void releaseRequest() {
        request = null;
    }

    RequestHandle handle() {
        return handle;
    }

    void setHandle(RequestHandle registered) {
        handle = registered;
    }

    /** Whether the message was answered, or its client has disconnected. */
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

    /** Whether the downstream call is in progress: the disk write of an update, or the sending of a transfer. */
    boolean isCalling() {
        return isCalling;
    }

    void setCalling(boolean calling) {
        isCalling = calling;
    }

    /** Returns the response code, or empty while undecided. */
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

    /** Removes and returns the duplicates that wait for the outcome. */
    List<PendingMessage> takeDuplicates() {
        List<PendingMessage> taken = duplicates;
        duplicates = List.of();
        return taken;
    }
}
