package merlinlever.dns.server;

import java.util.function.Consumer;

/** Sends the response to one message. */
public interface ReplyChannel {

    /** Whether the response is one datagram. */
    boolean isDatagram();

    /** Sends the one response; null ends the connection without it. */
    void answer(byte[] octets);

    /** Sends a transfer message by message as there is room; {@code done} is told whether all were sent. */
    void answer(ZoneTransfer transfer, Consumer<Boolean> done);
}
