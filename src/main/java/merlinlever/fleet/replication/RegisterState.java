package merlinlever.fleet.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * State of one register at a voter.
 *
 * @param acceptedTerm the leader's term under which the value was last accepted; not used once the value is chosen
 * @param value the value, of at most {@value PaxosAcceptor#MAX_VALUE_BYTES} bytes
 * @param chosen whether a majority of the voters has accepted the value under one term, so that the value is final
 */
record RegisterState(String name, long acceptedTerm, byte[] value, boolean chosen) {

    /** Returns the number of bytes that {@link #encodeTo} writes. */
    int encodedBytes() {
        return 1 + name.length() + Long.BYTES + 1 + Short.BYTES + value.length;
    }

    void encodeTo(ByteBuffer out) {
        byte[] nameBytes = name.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) nameBytes.length)
                .put(nameBytes)
                .putLong(acceptedTerm)
                .put((byte) (chosen ? 1 : 0))
                .putShort((short) value.length)
                .put(value);
    }

    /**
     * Reads a state written by {@link #encodeTo}.
     *
     * @throws java.nio.BufferUnderflowException if bytes are missing
     * @throws IllegalArgumentException if a field is invalid
     */
    static RegisterState decode(ByteBuffer in) {
        byte[] nameBytes = new byte[Byte.toUnsignedInt(in.get())];
        in.get(nameBytes);
        String name = new String(nameBytes, StandardCharsets.ISO_8859_1);
        long acceptedTerm = in.getLong();
        byte chosen = in.get();
        int length = Short.toUnsignedInt(in.getShort());
        if (!isValidName(name)
                || acceptedTerm < 0
                || chosen < 0
                || chosen > 1
                || length > PaxosAcceptor.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("invalid register state");
        }
        byte[] value = new byte[length];
        in.get(value);
        return new RegisterState(name, acceptedTerm, value, chosen == 1);
    }

    /** Whether the name follows the rules of topics, which apply to register names too. */
    static boolean isValidName(String name) {
        return GossipCodec.isValidKey("-", name);
    }
}
