package merlinlever.fleet.membership;

/** What a restarted member asks its peers, and what they answer, beside all that they believe of the members. */
public interface RecoveryExchange {

    /** This member's answer to a peer's query: printable ASCII without spaces, at most 64 bytes. */
    String recoveryReport();

    /** A peer has answered this member's query of that correlation id. */
    void onRecoveryReply(String sender, long correlationId, String report);
}
