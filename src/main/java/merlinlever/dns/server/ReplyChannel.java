package merlinlever.dns.server;

import java.util.function.Consumer;

/** Sends the response to one message. */
public interface ReplyChannel {

    /** Whether the response is sent as a datagram. */
    boolean isDatagram();

    /** Sends the response; null closes the connection without a response. */
    void answer(byte[] octets);

    /** Sends the messages of a transfer as the send buffer permits; {@code onEnded} receives whether all were sent. */
    void answer(ZoneTransfer transfer, Consumer<Boolean> onEnded);
}
