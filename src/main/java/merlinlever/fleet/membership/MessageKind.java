package merlinlever.fleet.membership;

import merlinlever.common.WireNamed;

/** Kinds of {@link MembershipMessage}. On the wire they go by their position, so their order is fixed. */
public enum MessageKind implements WireNamed {
    /** Asks the receiver for an {@link #ACK}. */
    PING("ping"),
    /** Answers a {@link #PING}. */
    ACK("ack"),
    /** Asks the receiver to ping another member on the sender's behalf. */
    PING_REQUEST("ask_for"),
    /** Answers a {@link #PING_REQUEST}: the other member has not answered yet. */
    NACK("nack"),
    /** Brings all records of the sender, and asks for all of the receiver. */
    SYNC("sync"),
    /** Answers a {@link #SYNC}. */
    SYNC_REPLY("sync_back"),
    /** A restarted member asks for a recovery report. */
    RECOVERY_QUERY("recall"),
    /** Answers a {@link #RECOVERY_QUERY}, with all records. */
    RECOVERY_REPLY("recalled"),
    /** A text of another protocol. */
    TEXT("say"),
    /** Bytes of another protocol. */
    PAYLOAD("carry");

    private final String wireName;

    MessageKind(String wireName) {
        this.wireName = wireName;
    }

    /** The name in drawings of message sequences; it stays when the constant is renamed. */
    @Override
    public String wireName() {
        return wireName;
    }
}
