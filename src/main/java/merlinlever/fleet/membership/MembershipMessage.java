package merlinlever.fleet.membership;

import java.util.List;

/**
 * A message between members.
 *
 * @param sender name of the sending member
 * @param correlationId identifies the request; a reply carries the correlation id of its request
 * @param text gossip address of the target of a {@code PING_REQUEST}, report of a {@code RECOVERY_REPLY}, text of a
 *     {@code TEXT}; empty for other kinds
 * @param records piggybacked member records
 * @param payload bytes of a {@code PAYLOAD}, null for other kinds; must not be modified
 */
public record MembershipMessage(
        MessageKind kind, String sender, long correlationId, String text, List<MemberRecord> records, byte[] payload) {

    /** Creates a message without payload. */
    public MembershipMessage(
            MessageKind kind, String sender, long correlationId, String text, List<MemberRecord> records) {
        this(kind, sender, correlationId, text, records, null);
    }
}
