package merlinlever.fleet.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One register as a voter holds it.
 *
 * @param acceptedTerm the leader's term under which the value was accepted last; without meaning once the value is chosen
 * @param value {@value PaxosAcceptor#MAX_VALUE_BYTES} bytes at most
 * @param chosen whether a majority of the voters has accepted the value under one term, so that it never changes
 */
record RegisterState(String name, long acceptedTerm, byte[] value, boolean chosen) {

    /** The bytes of {@link #encodeTo}. */
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
     * Reads what {@link #encodeTo} writes.
     *
     * @throws java.nio.BufferUnderflowException if bytes are missing
     * @throws IllegalArgumentException if a field is out of its bounds
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
            throw new IllegalArgumentException("register");
        }
        byte[] value = new byte[length];
        in.get(value);
        return new RegisterState(name, acceptedTerm, value, chosen == 1);
    }

    /** Names of registers obey the rules of topics. */
    static boolean isValidName(String name) {
        return GossipCodec.isValidKey("-", name);
    }
}
