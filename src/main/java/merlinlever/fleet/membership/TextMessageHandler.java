package merlinlever.fleet.membership;

/** Takes the texts of another protocol that peers send on membership's datagrams. */
public interface TextMessageHandler {

    /** A peer sent that text; what the handler doesn't understand it ignores. On the thread that received it. */
    void onText(String sender, long correlationId, String text);
}
