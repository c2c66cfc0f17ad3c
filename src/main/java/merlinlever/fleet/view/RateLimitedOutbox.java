package merlinlever.fleet.view;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.fleet.membership.PeerMessage;

/**
 * Collects messages to be sent, and limits texts in number and payloads in bytes per second. Messages beyond a limit
 * are dropped; the protocol recovers from a dropped message as from a lost datagram. Not thread-safe.
 */
final class RateLimitedOutbox {

    private static final int MAX_TEXTS_PER_SECOND = 5000;
    private static final int MAX_PAYLOAD_BYTES_PER_SECOND = 2 << 20;
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final List<PeerMessage> messages = new ArrayList<>();
    private Duration windowStart;
    private int textsInWindow;
    private int payloadBytesInWindow;

    RateLimitedOutbox(Duration now) {
        windowStart = now;
    }

    /** Starts a new window of the limits when the current one has ended. */
    void tick(Duration now) {
        if (now.minus(windowStart).compareTo(WINDOW) >= 0) {
            windowStart = now;
            textsInWindow = 0;
            payloadBytesInWindow = 0;
        }
    }

    void addText(String recipient, long correlationId, String text) {
        textsInWindow++;
        if (textsInWindow <= MAX_TEXTS_PER_SECOND) {
            messages.add(new PeerMessage.Text(recipient, correlationId, text));
        }
    }

    void addPayload(String recipient, byte[] payload) {
        payloadBytesInWindow += payload.length;
        if (payloadBytesInWindow <= MAX_PAYLOAD_BYTES_PER_SECOND) {
            messages.add(new PeerMessage.Payload(recipient, payload));
        }
    }

    /** Removes and returns all messages, in the order in which they were added. */
    List<PeerMessage> drain() {
        List<PeerMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }
}
