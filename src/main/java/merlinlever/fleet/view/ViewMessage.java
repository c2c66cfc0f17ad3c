package merlinlever.fleet.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.fleet.membership.TextFields;

/**
 * The messages of the membership view, as text of fields separated by slashes; numbers of views, terms and indexes are in base 36,
 * as a text has 120 bytes at most. A view itself travels as a payload ({@link ViewCodec}).
 */
sealed interface ViewMessage {

    /** Base of all numbers but the count of heard voters. */
    int RADIX = 36;

    /** The text of the message. */
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
     * Asks a voter for its view, and reports to it: {@code WQ/view/digest/floor/heard/unreachable}.
     *
     * @param viewNumber of the view that the sender has adopted, 0 for none
     * @param digest of that view
     * @param termFloor see {@link CutDetector.MemberReport}
     * @param heardVoters how many voters the sender hears, in base ten
     * @param unreachable the members that it finds unreachable, as {@link #formatIndexes} names them
     */
    record Poll(long viewNumber, String digest, long termFloor, int heardVoters, Optional<String> unreachable)
            implements ViewMessage {
        static final String TYPE = "WQ";

        private static final int FLOOR_INDEX = 3;
        private static final int HEARD_INDEX = 4;
        private static final int UNREACHABLE_INDEX = 5;
        private static final String INDEX_PREFIX = ".";

        /** Members by their indexes in the view of that number, each index after a dot; empty for none. */
        static Optional<String> formatIndexes(List<Integer> indexes) {
            StringBuilder text = new StringBuilder();
            indexes.forEach(index -> text.append(INDEX_PREFIX).append(Integer.toString(index, RADIX)));
            return indexes.isEmpty() ? Optional.empty() : Optional.of(text.toString());
        }

        /**
         * The indexes of the members that are unreachable; they mean nothing to a backend with another view.
         *
         * @throws IllegalArgumentException if the field is there and empty, or one of the indexes is no number
         */
        List<Integer> unreachableIndexes() {
            List<Integer> indexes = new ArrayList<>();
            if (unreachable.isPresent()) {
                if (unreachable.get().isEmpty()) {
                    throw new IllegalArgumentException("no indexes");
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
     * @param viewNumber of the view that the sender has adopted, 0 for none
     * @param digest of that view
     * @param leadingTerm the term under which the sender leads, 0 where it does not
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
     * Asks for a view, which comes as a payload: {@code WG/known/wanted}.
     *
     * @param knownNumber of a view that the sender holds, as the base of a difference
     * @param wantedNumber of the view that it wants at least
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

    /** A message as it was received. Each part is read only when it is asked for. */
    final class Received {

        private static final int TYPE_INDEX = 0;
        private static final int VIEW_INDEX = 1;
        private static final int DIGEST_INDEX = 2;

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
         * The whole message as a poll, but for the indexes of the unreachable members.
         *
         * @throws IllegalArgumentException if it is not one
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
         * The whole message as the answer to a poll.
         *
         * @throws IllegalArgumentException if it is not one
         */
        PollAnswer toPollAnswer() {
            return new PollAnswer(
                    fields.number(VIEW_INDEX, RADIX),
                    fields.text(DIGEST_INDEX),
                    fields.number(PollAnswer.TERM_INDEX, RADIX));
        }

        /**
         * The number of the view that a {@link Fetch} wants.
         *
         * @throws IllegalArgumentException if it has none
         */
        long wantedNumber() {
            return fields.number(Fetch.WANTED_INDEX, RADIX);
        }

        /**
         * The number of the view that the sender of a {@link Fetch} holds.
         *
         * @throws IllegalArgumentException if it has none
         */
        long knownNumber() {
            return fields.number(Fetch.KNOWN_INDEX, RADIX);
        }
    }
}
