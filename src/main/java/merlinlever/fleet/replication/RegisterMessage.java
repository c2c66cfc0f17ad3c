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
 * A message about registers, between the leader and the voters or between any two backends. The factory methods show
 * which fields a kind uses; unused fields are 0 or empty.
 *
 * @param term the leader's term; in a rejection or a page the term that the sender has promised
 * @param number depending on the kind: the time of the request in ms of the requester's steady clock ({@link
 *     #requestedAtMs}), in a page combined with flags; or a fingerprint
 * @param register the register's name; in a page or its request the name after which the page begins; may be empty
 */
record RegisterMessage(Kind kind, long term, long number, String register, List<RegisterState> registers) {

    /** Kind of a message, encoded by its ordinal: new kinds must be added at the end. */
    enum Kind {
        /** The leader asks a voter for a promise and for its accepted value. */
        PREPARE,
        /** A voter's answer: the voter accepts no values of lower terms any more. */
        PROMISE,
        /** The leader proposes a value. */
        ACCEPT,
        /** A voter's answer: the voter has the value on its disk. */
        ACCEPTED,
        /** A voter's answer to PREPARE or ACCEPT: the voter has promised a higher term, or cannot accept the value. */
        REJECTED,
        /** Announces the chosen value of a register. */
        CHOSEN,
        /** Fingerprint of all chosen values, for comparison. */
        FINGERPRINT,
        /** Requests a page of registers. */
        PAGE_REQUEST,
        /** A page of registers, sorted by name. */
        PAGE
    }

    private static final Kind[] KINDS = Kind.values();
    private static final byte PROTOCOL_VERSION = 1;
    private static final int HEADER_BYTES = 64;
    /** Maximum encoded size of the registers of a page. */
    static final int MAX_PAGE_BYTES = 30 << 10;

    private static final int VOTING_FLAG = 1;
    private static final int LAST_PAGE_FLAG = 2;
    private static final int FLAG_BITS = 2;

    static RegisterMessage prepare(long term, Duration now, String register) {
        return new RegisterMessage(Kind.PREPARE, term, now.toMillis(), register, List.of());
    }

    /** @param accepted the state that the voter has accepted, if there is any */
    static RegisterMessage promise(RegisterMessage request, Optional<RegisterState> accepted) {
        return new RegisterMessage(
                Kind.PROMISE,
                request.term,
                request.number,
                request.register,
                accepted.map(List::of).orElse(List.of()));
    }

    static RegisterMessage accept(long term, Duration now, String register, byte[] value) {
        return new RegisterMessage(
                Kind.ACCEPT, term, now.toMillis(), register, List.of(new RegisterState(register, term, value, false)));
    }

    static RegisterMessage accepted(RegisterMessage request) {
        return new RegisterMessage(Kind.ACCEPTED, request.term, request.number, request.register, List.of());
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

    /** @param after the name after which the page begins; empty for the first page */
    static RegisterMessage pageRequest(long requestedAtMs, String after) {
        return new RegisterMessage(Kind.PAGE_REQUEST, 0, requestedAtMs, after, List.of());
    }

    /**
     * The answer to a {@link Kind#PAGE_REQUEST}.
     *
     * @param voting whether the sender of the page votes
     * @param last whether no registers follow the page
     */
    static RegisterMessage page(
            RegisterMessage request, long promisedTerm, boolean voting, boolean last, List<RegisterState> registers) {
        long number = (request.number << FLAG_BITS) | (voting ? VOTING_FLAG : 0) | (last ? LAST_PAGE_FLAG : 0);
        return new RegisterMessage(Kind.PAGE, promisedTerm, number, request.register, registers);
    }

    /** Returns the time of the request that this message is or answers, in ms of the requester's steady clock. */
    long requestedAtMs() {
        return kind == Kind.PAGE ? number >> FLAG_BITS : number;
    }

    /** Whether the sender of this page votes. */
    boolean isSenderVoting() {
        return (number & VOTING_FLAG) != 0;
    }

    /** Whether no registers follow this page. */
    boolean isLastPage() {
        return (number & LAST_PAGE_FLAG) != 0;
    }

    /** Whether the message contains the registers that its kind requires. */
    boolean isComplete() {
        boolean namedRegister = registers.size() == 1 && registers.get(0).name().equals(register);
        return switch (kind) {
            case ACCEPT, CHOSEN -> namedRegister;
            case PROMISE -> namedRegister || registers.isEmpty();
            case PREPARE, ACCEPTED, REJECTED, FINGERPRINT, PAGE_REQUEST, PAGE -> true;
        };
    }

    // ---- encoding

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

    /** Returns the message, or empty if the bytes are not a valid encoding. */
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
