package merlinlever.fleet.quota;

import merlinlever.fleet.membership.TextFields;

/** The messages between the holder of a lease and the leader, as text of fields separated by slashes. */
sealed interface LeaseMessage {

    /** The text of the message. */
    String encode();

    /**
     * A message as it was received. Each part is read only when it is asked for, as a receiver answers some messages without
     * looking at all of them: whoever asks the wrong backend is told who leads, whatever else the request holds.
     */
    final class Received {

        private static final int TYPE_INDEX = 0;
        private static final int TERM_INDEX = 1;
        private static final int QUOTA_INDEX = 2;

        private final TextFields fields;

        Received(String text) {
            fields = new TextFields(text);
        }

        /**
         * {@link Request#TYPE}, {@link Grant#TYPE}, or something else.
         *
         * @throws IllegalArgumentException if it has none
         */
        String type() {
            return fields.text(TYPE_INDEX);
        }

        /**
         * The term of the message.
         *
         * @throws IllegalArgumentException if it has none
         */
        long term() {
            return fields.number(TERM_INDEX);
        }

        /**
         * The name of the quota.
         *
         * @throws IllegalArgumentException if there is none
         */
        String quota() {
            return fields.text(QUOTA_INDEX);
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
                    Long.parseUnsignedLong(fields.text(Request.INCARNATION_INDEX), Request.INCARNATION_RADIX),
                    fields.number(Request.CURRENT_GRANT_INDEX),
                    fields.number(Request.HELD_INDEX),
                    fields.number(Request.IN_USE_INDEX),
                    fields.number(Request.WANTED_INDEX));
        }

        /**
         * The whole message as a grant.
         *
         * @throws IllegalArgumentException if it is not one
         */
        Grant toGrant() {
            LeaseGrant grant = new LeaseGrant(fields.number(Grant.NUMBER_INDEX), fields.number(Grant.AMOUNT_INDEX));
            return new Grant(term(), quota(), grant);
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

        private static final int INCARNATION_INDEX = 3;
        private static final int CURRENT_GRANT_INDEX = 4;
        private static final int HELD_INDEX = 5;
        private static final int IN_USE_INDEX = 6;
        private static final int WANTED_INDEX = 7;
        private static final int INCARNATION_RADIX = 16;

        /** Asks any voter who leads; the numbers are not looked at. */
        static Request forLeader(String quota, long incarnation) {
            return new Request(0, quota, incarnation, 0, 0, 0, 0);
        }

        @Override
        public String encode() {
            return TextFields.join(
                    TYPE,
                    Long.toString(term),
                    quota,
                    Long.toHexString(incarnation),
                    Long.toString(currentGrant),
                    Long.toString(held),
                    Long.toString(inUse),
                    Long.toString(wanted));
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

        private static final int NUMBER_INDEX = 3;
        private static final int AMOUNT_INDEX = 4;

        @Override
        public String encode() {
            return TextFields.join(
                    TYPE, Long.toString(term), quota, Long.toString(grant.number()), Long.toString(grant.amount()));
        }
    }
}
