package merlinlever.fleet.election;

import merlinlever.fleet.membership.TextFields;

/** Messages of leader election, encoded as fields separated by slashes; terms are decimal numbers. */
sealed interface ElectionMessage {

    /** Returns the message as text. */
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

    /** Rejects a vote request and reports the highest term that the voter has promised: {@code N/term}. */
    record Rejection(long promisedTerm) implements ElectionMessage {
        static final String TYPE = "N";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(promisedTerm));
        }
    }

    /** Announces the current leader: {@code H/term/leader}. */
    record LeaderAnnouncement(long term, String leader) implements ElectionMessage {
        static final String TYPE = "H";

        @Override
        public String encode() {
            return TextFields.join(TYPE, Long.toString(term), leader);
        }
    }

    /**
     * A received message. Each accessor parses only its own field, so the receiver can ignore a message without parsing
     * its remaining fields.
     */
    final class Received {

        private static final int TYPE_INDEX = 0;
        private static final int TERM_INDEX = 1;
        private static final int LEADER_INDEX = 2;

        private final TextFields fields;

        Received(String text) {
            fields = new TextFields(text);
        }

        /**
         * Returns the {@code TYPE} of the message, which may be unknown.
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
         * Returns the name of the announced leader.
         *
         * @throws IllegalArgumentException if the leader field is missing
         */
        String leader() {
            return fields.text(LEADER_INDEX);
        }
    }
}
