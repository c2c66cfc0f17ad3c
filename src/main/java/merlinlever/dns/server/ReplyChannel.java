package merlinlever.dns.server;

import java.util.function.Consumer;

/** Where one message came from and its answer goes. */
public interface ReplyChannel {

    /** Whether the answer goes in one datagram. */
    boolean isDatagram();

    /** The one answer. */
    void answer(byte[] octets);

    /** An answer of many messages, of which the next is wanted whenever there is room; tells whether all have left. */
    void answer(ZoneTransfer transfer, Consumer<Boolean> done);
}
