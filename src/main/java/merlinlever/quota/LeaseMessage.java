package merlinlever.quota;

/** The messages between the holder of a lease and the leader, as text of fields separated by slashes. */
sealed interface LeaseMessage {

    /** The text of the message. */
    String encode();

    /**
     * Reads the text of a message.
     *
     * @throws IllegalArgumentException if it is not one
     */
    static LeaseMessage decode(String text) {
        String[] fields = text.split("/");
        try {
            return switch (fields[0]) {
                case Request.TYPE -> new Request(
                        Long.parseLong(fields[1]),
                        fields[2],
                        Long.parseUnsignedLong(fields[3], 16),
                        Long.parseLong(fields[4]),
                        Long.parseLong(fields[5]),
                        Long.parseLong(fields[6]),
                        Long.parseLong(fields[7]));
                case Grant.TYPE -> new Grant(
                        Long.parseLong(fields[1]),
                        fields[2],
                        new LeaseGrant(Long.parseLong(fields[3]), Long.parseLong(fields[4])));
                default -> throw new IllegalArgumentException("unknown type " + fields[0]);
            };
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("too few fields", e);
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
