package merlinlever.fleet.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.fleet.membership.TextFields;

/**
 * The messages of the membership view. Each message is a text whose fields are separated by slashes. View numbers,
 * terms and indexes are in base 36, as the length of a text is limited to 120 bytes. Views are sent as payloads
 * ({@link ViewCodec}).
 */
sealed interface ViewMessage {

    /** Base of all numbers except the number of heard voters, which is decimal. */
    int RADIX = 36;

    /** Returns the text of the message. */
    String encode();

    private static String format(long number) {
        return Long.toString(number, RADIX);
    }

    /** Asks a member whether it is reachable: {@code WP/}. */
    record Probe() implements ViewMessage {
        static final String TYPE = "WP";

        @Override
        public String encode() {
            return TextFields.join(TYPE, "");
        }
    }

    /** Answers a probe: {@code WO/}. */
    record ProbeAnswer() implements ViewMessage {
        static final String TYPE = "WO";

        @Override
        public String encode() {
            return TextFields.join(TYPE, "");
        }
    }

    /**
     * Asks a voter for its view and contains the report of the sender:
     * {@code WQ/view/digest/floor/heard/unreachable}.
     *
     * @param viewNumber number of the view that the sender has adopted, 0 for none
     * @param digest digest of the sender's view
     * @param termFloor see {@link CutDetector.MemberReport}
     * @param heardVoters number of voters that the sender hears, in base ten
     * @param unreachable the members that the sender finds unreachable, in the format of {@link #formatIndexes}
     */
    record Poll(long viewNumber, String digest, long termFloor, int heardVoters, Optional<String> unreachable)
            implements ViewMessage {
        static final String TYPE = "WQ";

        private static final int FLOOR_INDEX = 3;
        private static final int HEARD_INDEX = 4;
        private static final int UNREACHABLE_INDEX = 5;
        private static final String INDEX_PREFIX = ".";

        /** Formats members as their indexes in the sender's view, each with a leading dot; empty for no members. */
        static Optional<String> formatIndexes(List<Integer> indexes) {
            StringBuilder text = new StringBuilder();
            indexes.forEach(index -> text.append(INDEX_PREFIX).append(Integer.toString(index, RADIX)));
            return indexes.isEmpty() ? Optional.empty() : Optional.of(text.toString());
        }

        /**
         * Returns the indexes of the unreachable members, which are valid only in the sender's view.
         *
         * @throws IllegalArgumentException if the field is present but empty, or an index is not a number
         */
        List<Integer> unreachableIndexes() {
            List<Integer> indexes = new ArrayList<>();
            if (unreachable.isPresent()) {
                if (unreachable.get().isEmpty()) {
                    throw new IllegalArgumentException("the field with the unreachable indexes is empty");
                }
                for (String index : unreachable.get().substring(1).split("\\.")) {
                    indexes.add(Integer.parseInt(index, RADIX));
                }
            }
            return indexes;
        }

        @Override
        public String encode() {
            return TextFields.join(
                    TYPE,
                    format(viewNumber),
                    digest,
                    format(termFloor),
                    Integer.toString(heardVoters),
                    unreachable.orElse(""));
        }
    }

    /**
     * Answers a poll: {@code WA/view/digest/term}.
     *
     * @param viewNumber number of the view that the sender has adopted, 0 for none
     * @param digest digest of the sender's view
     * @param leadingTerm the term in which the sender is the leader, 0 if the sender is not the leader
     */
    record PollAnswer(long viewNumber, String digest, long leadingTerm) implements ViewMessage {
        static final String TYPE = "WA";

        private static final int TERM_INDEX = 3;

        @Override
        public String encode() {
            return TextFields.join(TYPE, format(viewNumber), digest, format(leadingTerm));
        }
    }

    /**
     * Requests a view, which the recipient sends as a payload: {@code WG/known/wanted}.
     *
     * @param knownNumber number of a view that the sender has, used as the base of a difference
     * @param wantedNumber lowest number of the requested view
     */
    record Fetch(long knownNumber, long wantedNumber) implements ViewMessage {
        static final String TYPE = "WG";

        private static final int KNOWN_INDEX = 1;
        private static final int WANTED_INDEX = 2;

        @Override
        public String encode() {
            return TextFields.join(TYPE, format(knownNumber), format(wantedNumber));
        }
    }

    /** A received message, whose fields are parsed on demand. */
    final class Received {

        private static final int TYPE_INDEX = 0;
        private static final int VIEW_INDEX = 1;
        private static final int DIGEST_INDEX = 2;

        private final TextFields fields;

        Received(String text) {
            fields = new TextFields(text);
        }

        /**
         * Returns the type field, which may be unknown.
         *
         * @throws IllegalArgumentException if the message has no type field
         */
        String type() {
            return fields.text(TYPE_INDEX);
        }

        /**
         * Parses the message as a poll, except for the indexes of the unreachable members.
         *
         * @throws IllegalArgumentException if the message is not a valid poll
         */
        Poll toPoll() {
            return new Poll(
                    fields.number(VIEW_INDEX, RADIX),
                    fields.text(DIGEST_INDEX),
                    fields.number(Poll.FLOOR_INDEX, RADIX),
                    Integer.parseInt(fields.text(Poll.HEARD_INDEX)),
                    fields.has(Poll.UNREACHABLE_INDEX)
                            ? Optional.of(fields.text(Poll.UNREACHABLE_INDEX))
                            : Optional.empty());
        }

        /**
         * Parses the message as the answer to a poll.
         *
         * @throws IllegalArgumentException if the message is not a valid answer
         */
        PollAnswer toPollAnswer() {
            return new PollAnswer(
                    fields.number(VIEW_INDEX, RADIX),
                    fields.text(DIGEST_INDEX),
                    fields.number(PollAnswer.TERM_INDEX, RADIX));
        }

        /**
         * Returns the wanted view number of a {@link Fetch}.
         *
         * @throws IllegalArgumentException if the message has no valid wanted number
         */
        long wantedNumber() {
            return fields.number(Fetch.WANTED_INDEX, RADIX);
        }

        /**
         * Returns the known view number of a {@link Fetch}.
         *
         * @throws IllegalArgumentException if the message has no valid known number
         */
        long knownNumber() {
            return fields.number(Fetch.KNOWN_INDEX, RADIX);
        }
    }
}
