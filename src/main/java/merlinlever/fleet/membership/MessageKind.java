package merlinlever.fleet.membership;

import merlinlever.common.WireNamed;

/** Kinds of {@link MembershipMessage}. The constants are encoded by their ordinal, so their order must not change. */
public enum MessageKind implements WireNamed {
    /** Requests an {@link #ACK} from the receiver. */
    PING("ping"),
    /** Answers a {@link #PING}. */
    ACK("ack"),
    /** Requests that the receiver ping another member on the sender's behalf. */
    PING_REQUEST("ask_for"),
    /** Answers a {@link #PING_REQUEST} whose target has not replied yet. */
    NACK("nack"),
    /** Carries all records of the sender and requests all records of the receiver. */
    SYNC("sync"),
    /** Answers a {@link #SYNC}. */
    SYNC_REPLY("sync_back"),
    /** Requests a recovery report, after a restart of the sender. */
    RECOVERY_QUERY("recall"),
    /** Answers a {@link #RECOVERY_QUERY} with the report and all records. */
    RECOVERY_REPLY("recalled"),
    /** Carries a text of another protocol. */
    TEXT("say"),
    /** Carries bytes of another protocol. */
    PAYLOAD("carry");

    private final String wireName;

    MessageKind(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in message sequence diagrams, which is independent of the name of the constant. */
    @Override
    public String wireName() {
        return wireName;
    }
}
