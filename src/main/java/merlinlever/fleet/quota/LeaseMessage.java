package merlinlever.fleet.quota;

import merlinlever.fleet.membership.TextFields;

/** Messages between the holder of a lease and the leader, encoded as fields separated by slashes. */
sealed interface LeaseMessage {

    /** Returns the message as text. */
    String encode();

    /**
     * A received message. Each accessor parses only its own fields, so a backend that is not the leader can answer a
     * request with a leader announcement without parsing the remaining fields.
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
         * Returns the type of the message: {@link Request#TYPE}, {@link Grant#TYPE} or an unknown type.
         *
         * @throws IllegalArgumentException if the message has no type field
         */
        String type() {
            return fields.text(TYPE_INDEX);
        }

        /**
         * Returns the term of the message.
         *
         * @throws IllegalArgumentException if the term field is missing or not a number
         */
        long term() {
            return fields.number(TERM_INDEX);
        }

        /**
         * Returns the name of the quota.
         *
         * @throws IllegalArgumentException if the quota field is missing
         */
        String quota() {
            return fields.text(QUOTA_INDEX);
        }

        /**
         * Parses the whole message as a request.
         *
         * @throws IllegalArgumentException if the message is not a valid request
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
         * Parses the whole message as a grant.
         *
         * @throws IllegalArgumentException if the message is not a valid grant
         */
        Grant toGrant() {
            LeaseGrant grant = new LeaseGrant(fields.number(Grant.NUMBER_INDEX), fields.number(Grant.AMOUNT_INDEX));
            return new Grant(term(), quota(), grant);
        }
    }

    /**
     * Requests a lease from the leader: {@code Q/term/quota/incarnation/currentGrant/held/inUse/wanted}.
     *
     * @param term the leader's term, or 0 to query the current leader
     * @param quota name of the quota
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

        /** Returns a query for the current leader, which any voter can answer; the receiver ignores the amounts. */
        static Request leaderQuery(String quota, long incarnation) {
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
     * Grants a lease to the requester: {@code G/term/quota/number/amount}.
     *
     * @param term the leader's term
     * @param quota name of the quota
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
