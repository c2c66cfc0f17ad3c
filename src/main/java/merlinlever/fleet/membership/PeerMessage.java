package merlinlever.fleet.membership;

/**
 * A message of another protocol, for example leader election, that is sent in a membership datagram and may be lost.
 */
public sealed interface PeerMessage {

    /** Returns the name of the receiving member. */
    String recipient();

    /**
     * A short text message.
     *
     * @param correlationId identifies the request; a reply carries the correlation id of its request
     * @param text printable ASCII without spaces, at most 120 bytes; starts with the message type and a slash
     */
    record Text(String recipient, long correlationId, String text) implements PeerMessage {}

    /** A binary message of at most {@link SwimProtocol#MAX_PAYLOAD_BYTES} bytes. */
    final class Payload implements PeerMessage {
        private final String recipient;
        private final byte[] content;

        /**
         * Creates a binary message.
         *
         * @param content bytes of the message; not copied, so the caller must not modify the array
         */
        public Payload(String recipient, byte[] content) {
            this.recipient = recipient;
            this.content = content;
        }

        @Override
        public String recipient() {
            return recipient;
        }

        byte[] content() {
            return content;
        }
    }
}
