package merlinlever.fleet.membership;

/**
 * Handles payloads that peers send in membership datagrams. Every handler receives every payload and ignores payloads
 * of other protocols.
 */
public interface PayloadHandler {

    /** Handles a payload from a peer, on the receiving thread. */
    void onPayload(String sender, byte[] payload);
}
