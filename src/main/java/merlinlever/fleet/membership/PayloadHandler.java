package merlinlever.fleet.membership;

/** Takes the payloads that peers send on membership's datagrams; every handler sees each, and takes what it understands. */
public interface PayloadHandler {

    /** A peer sent those bytes. On the thread that received them. */
    void onPayload(String sender, byte[] payload);
}
