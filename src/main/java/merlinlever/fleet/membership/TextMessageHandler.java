package merlinlever.fleet.membership;

/** Handles text messages of another protocol that peers send in membership datagrams. */
public interface TextMessageHandler {

    /** Handles a text from a peer, on the receiving thread. Malformed texts are ignored. */
    void onText(String sender, long correlationId, String text);
}
