package merlinlever.fleet.quota;

/** The messages between the holder of a lease and the leader, as text of fields separated by slashes. */
sealed interface LeaseMessage {

    /** The text of the message. */
    String encode();

    /**
     * A message as it was received. Each part is read only when it is asked for, as a receiver answers some messages without
     * looking at all of them: whoever asks the wrong backend is told who leads, whatever else the request holds.
     */
    final class Received {

        private final String[] fields;

        Received(String text) {
            fields = text.split("/");
        }

        /** {@link Request#TYPE}, {@link Grant#TYPE}, or something else. */
        String type() {
            return field(0);
        }

        /**
         * The term of the message.
         *
         * @throws IllegalArgumentException if it has none
         */
        long term() {
            return Long.parseLong(field(1));
        }

        /**
         * The name of the quota.
         *
         * @throws IllegalArgumentException if there is none
         */
        String quota() {
            return field(2);
        }

        /**
         * The whole message as a request.
         *
         * @throws IllegalArgumentException if it is not one
         */
        Request toRequest() {
            return new Request(
                    term(),
                    quota(),
                    Long.parseUnsignedLong(field(3), 16),
                    Long.parseLong(field(4)),
                    Long.parseLong(field(5)),
                    Long.parseLong(field(6)),
                    Long.parseLong(field(7)));
        }

        /**
         * The whole message as a grant.
         *
         * @throws IllegalArgumentException if it is not one
         */
        Grant toGrant() {
            return new Grant(term(), quota(), new LeaseGrant(Long.parseLong(field(3)), Long.parseLong(field(4))));
        }

        private String field(int index) {
            if (index >= fields.length) {
                throw new IllegalArgumentException("too few fields");
            }
            return fields[index];
        }
    }

    /**
     * Asks the leader for a lease: {@code Q/term/quota/incarnation/currentGrant/held/inUse/wanted}.
     *
     * @param term the leader's term; 0 asks who leads
     * @param quota the name of the quota
     */
    record Request(long term, String quota, long incarnation, long currentGrant, long held, long inUse, long wanted)
            implements LeaseMessage {

        static final String TYPE = "Q";

        /** Asks any voter who leads; the numbers are not looked at. */
        static Request forLeader(String quota, long incarnation) {
            return new Request(0, quota, incarnation, 0, 0, 0, 0);
        }

        @Override
        public String encode() {
            return TYPE + "/" + term + "/" + quota + "/" + Long.toHexString(incarnation) + "/" + currentGrant + "/"
                    + held + "/" + inUse + "/" + wanted;
        }
    }

    /**
     * The leader's answer: {@code G/term/quota/number/amount}.
     *
     * @param term the leader's term
     * @param quota the name of the quota
     */
    record Grant(long term, String quota, LeaseGrant grant) implements LeaseMessage {

        static final String TYPE = "G";

        @Override
        public String encode() {
            return TYPE + "/" + term + "/" + quota + "/" + grant.number() + "/" + grant.amount();
        }
    }
}
