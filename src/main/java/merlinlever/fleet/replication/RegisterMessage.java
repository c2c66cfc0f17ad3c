package merlinlever.fleet.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A message about registers, between the leader and the voters or between any two backends. The factory methods say which fields a kind
 * uses; the others are 0 or empty.
 *
 * @param term of the leader, or in an answer the term that the voter has promised
 * @param number depending on the kind: when the question was asked, in ms of the asker's steady clock ({@link #askedAtMs}), together with
 *     the flags of a page; or a fingerprint
 * @param register its name, or of a page the name after which it begins; may be empty
 */
record RegisterMessage(Kind kind, long term, long number, String register, List<RegisterState> registers) {

    /** On the wire by its position: new ones come last. */
    enum Kind {
        /** The leader asks a voter what it has accepted. */
        PREPARE,
        /** A voter's answer: it accepts nothing of lower terms any more. */
        PROMISE,
        /** The leader proposes a value. */
        ACCEPT,
        /** A voter's answer: it has the value on its disk. */
        ACCEPTED,
        /** A voter's answer to either: it has promised a higher term. */
        REJECTED,
        /** A register is written, with this value. */
        CHOSEN,
        /** A fingerprint of all chosen registers, for comparison. */
        FINGERPRINT,
        /** Asks for a page of registers. */
        PAGE_REQUEST,
        /** A page of registers, in the order of their names. */
        PAGE
    }

    private static final Kind[] KINDS = Kind.values();
    private static final byte PROTOCOL_VERSION = 1;
    private static final int HEADER_BYTES = 64;
    /** Of the registers on one page. */
    static final int MAX_PAGE_BYTES = 30 << 10;

    private static final int VOTING_FLAG = 1;
    private static final int LAST_PAGE_FLAG = 2;
    private static final int FLAG_BITS = 2;

    static RegisterMessage prepare(long term, Duration now, String register) {
        return new RegisterMessage(Kind.PREPARE, term, now.toMillis(), register, List.of());
    }

    /** @param accepted what the voter has accepted, if anything */
    static RegisterMessage promise(RegisterMessage question, Optional<RegisterState> accepted) {
        return new RegisterMessage(
                Kind.PROMISE,
                question.term,
                question.number,
                question.register,
                accepted.map(List::of).orElse(List.of()));
    }

    static RegisterMessage accept(long term, Duration now, String register, byte[] value) {
        return new RegisterMessage(
                Kind.ACCEPT, term, now.toMillis(), register, List.of(new RegisterState(register, term, value, false)));
    }

    static RegisterMessage accepted(RegisterMessage question) {
        return new RegisterMessage(Kind.ACCEPTED, question.term, question.number, question.register, List.of());
    }

    static RegisterMessage rejected(long promisedTerm, String register) {
        return new RegisterMessage(Kind.REJECTED, promisedTerm, 0, register, List.of());
    }

    static RegisterMessage chosen(long term, RegisterState state) {
        return new RegisterMessage(Kind.CHOSEN, term, 0, state.name(), List.of(state));
    }

    static RegisterMessage fingerprint(long fingerprint) {
        return new RegisterMessage(Kind.FINGERPRINT, 0, fingerprint, "", List.of());
    }

    /** @param after the page begins with the next name; empty for the first page */
    static RegisterMessage pageRequest(long askedAtMs, String after) {
        return new RegisterMessage(Kind.PAGE_REQUEST, 0, askedAtMs, after, List.of());
    }

    /**
     * The answer to a {@link Kind#PAGE_REQUEST}.
     *
     * @param voting whether the sender votes
     * @param last whether no registers follow
     */
    static RegisterMessage page(
            RegisterMessage question, long promisedTerm, boolean voting, boolean last, List<RegisterState> registers) {
        long number = (question.number << FLAG_BITS) | (voting ? VOTING_FLAG : 0) | (last ? LAST_PAGE_FLAG : 0);
        return new RegisterMessage(Kind.PAGE, promisedTerm, number, question.register, registers);
    }

    /** When the question was asked that this message puts or answers, in ms of the asker's steady clock. */
    long askedAtMs() {
        return kind == Kind.PAGE ? number >> FLAG_BITS : number;
    }

    /** Of a page: whether its sender votes. */
    boolean isSenderVoting() {
        return (number & VOTING_FLAG) != 0;
    }

    /** Of a page: whether no registers follow. */
    boolean isLastPage() {
        return (number & LAST_PAGE_FLAG) != 0;
    }

    /** Whether the registers are what the kind needs. */
    boolean isComplete() {
        boolean namedRegister = registers.size() == 1 && registers.get(0).name().equals(register);
        return switch (kind) {
            case ACCEPT, CHOSEN -> namedRegister;
            case PROMISE -> namedRegister || registers.isEmpty();
            case PREPARE, ACCEPTED, REJECTED, FINGERPRINT, PAGE_REQUEST, PAGE -> true;
        };
    }

    // ---- bytes

    byte[] encode() {
        byte[] nameBytes = register.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES
                + nameBytes.length
                + registers.stream().mapToInt(RegisterState::encodedBytes).sum());
        out.put(PROTOCOL_VERSION)
                .put((byte) kind.ordinal())
                .putLong(term)
                .putLong(number)
                .put((byte) nameBytes.length)
                .put(nameBytes)
                .putShort((short) registers.size());
        registers.forEach(state -> state.encodeTo(out));
        return Arrays.copyOf(out.array(), out.position());
    }

    /** The message, or nothing if the bytes are not exactly what {@link #encode} writes. */
    static Optional<RegisterMessage> decode(byte[] body) {
        if (body.length > GossipCodec.MAX_MESSAGE_BYTES) {
            return Optional.empty();
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            byte version = in.get();
            int kind = in.get();
            long term = in.getLong();
            long number = in.getLong();
            byte[] nameBytes = new byte[Byte.toUnsignedInt(in.get())];
            in.get(nameBytes);
            String register = new String(nameBytes, StandardCharsets.ISO_8859_1);
            int count = Short.toUnsignedInt(in.getShort());
            List<RegisterState> registers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                registers.add(RegisterState.decode(in));
            }
            boolean valid = version == PROTOCOL_VERSION
                    && kind >= 0
                    && kind < KINDS.length
                    && term >= 0
                    && (register.isEmpty() || RegisterState.isValidName(register))
                    && !in.hasRemaining();
            return valid
                    ? Optional.of(new RegisterMessage(KINDS[kind], term, number, register, registers))
                    : Optional.empty();
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
