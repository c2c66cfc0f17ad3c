package merlinlever.fleet.election;

import merlinlever.fleet.membership.TextFields;

/** The messages of leader election, as text of fields separated by slashes; terms are in base ten. */
sealed interface ElectionMessage {

    /** The text of the message. */
    String encode();

    /** Requests a promise of the term: {@code V/term}. */
    record VoteRequest(long term) implements ElectionMessage {
        static final String TYPE = "V";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(term));
        }
    }

    /** Promises the term to the candidate that requested it: {@code P/term}. */
    record Promise(long term) implements ElectionMessage {
        static final String TYPE = "P";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(term));
        }
    }

    /** Rejects a vote request and names the term that was promised instead: {@code N/term}. */
    record Rejection(long promisedTerm) implements ElectionMessage {
        static final String TYPE = "N";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(promisedTerm));
        }
    }

    /** Says who leads: {@code H/term/leader}. */
    record LeaderAnnouncement(long term, String leader) implements ElectionMessage {
        static final String TYPE = "H";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(term), leader);
        }
    }

    /** A message as it was received. Each part is read only when it is asked for: of a leader that is no voter no term is read. */
    final class Received {

        private static final int TYPE_INDEX = 0;
        private static final int TERM_INDEX = 1;
        private static final int LEADER_INDEX = 2;

        private final TextFields fields;

        Received(String text) {
            fields = new TextFields(text);
        }

        /**
         * The {@code TYPE} of one of the messages, or something else.
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
         * The leader that is announced.
         *
         * @throws IllegalArgumentException if there is none
         */
        String leader() {
            return fields.text(LEADER_INDEX);
        }
    }
}
