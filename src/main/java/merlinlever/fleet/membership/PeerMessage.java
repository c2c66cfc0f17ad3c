package merlinlever.fleet.membership;

/** A message of another protocol, such as leader election, that travels on membership's datagrams and may be lost. */
public sealed interface PeerMessage {

    /** Name of the member that it goes to. */
    String recipient();

    /**
     * A short text.
     *
     * @param correlationId of the request; a reply repeats that of its request
     * @param text printable ASCII without spaces, at most 120 bytes; its type and a slash first
     */
    record Text(String recipient, long correlationId, String text) implements PeerMessage {}

    /** Some bytes, {@link SwimProtocol#MAX_PAYLOAD_BYTES} at most. */
    final class Payload implements PeerMessage {
        private final String recipient;
        private final byte[] content;

        /**
         * A payload of these bytes.
         *
         * @param content not copied, and not to be changed any more
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
