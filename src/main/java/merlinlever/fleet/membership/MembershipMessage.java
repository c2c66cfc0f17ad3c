package merlinlever.fleet.membership;

import java.util.List;

/**
 * One message between members.
 *
 * @param sender name of the member that sent it
 * @param correlationId of the request; a reply repeats that of its request
 * @param text the gossip address that a {@code PING_REQUEST} is about, the report of a {@code RECOVERY_REPLY}, the text of a {@code
 *     TEXT}; else empty
 * @param records gossip that travels with it
 * @param payload the bytes of a {@code PAYLOAD}, else null; not to be changed
 */
public record MembershipMessage(
        MessageKind kind, String sender, long correlationId, String text, List<MemberRecord> records, byte[] payload) {

    /** A message without payload. */
    public MembershipMessage(
            MessageKind kind, String sender, long correlationId, String text, List<MemberRecord> records) {
        this(kind, sender, correlationId, text, records, null);
    }
}
