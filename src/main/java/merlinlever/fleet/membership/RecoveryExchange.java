package merlinlever.fleet.membership;

/** Exchange of recovery reports between a restarted member and its peers, in addition to the member records. */
public interface RecoveryExchange {

    /** Returns this member's reply to a peer's recovery query: printable ASCII without spaces, at most 64 bytes. */
    String recoveryReport();

    /** Handles a peer's reply to this member's recovery query with the given correlation id. */
    void onRecoveryReply(String sender, long correlationId, String report);
}
