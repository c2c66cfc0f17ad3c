package merlinlever.fleet.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * The acceptor of single-decree Paxos (Lamport 1998, 2001): the promised term, and for each register the accepted or
 * chosen value. Each register is one decree; one promise covers all registers. An answer based on this state may be
 * sent only after the encoded state is on disk.
 */
final class PaxosAcceptor {

    /**
     * Maximum number of registers. Registers are never removed, as a removed register could be written a second time.
     */
    static final int MAX_REGISTERS = 256;

    static final int MAX_VALUE_BYTES = 1 << 10;

    /** "MLD1": magic number after the checksum of the file. */
    private static final int FILE_FORMAT = 0x4d4c4431;

    private static final int HEADER_BYTES = 24;

    private long promisedTerm;
    private final TreeMap<String, RegisterState> registers = new TreeMap<>();

    long promisedTerm() {
        return promisedTerm;
    }

    /** Returns the register's state, if a value was accepted or chosen. */
    Optional<RegisterState> get(String name) {
        return Optional.ofNullable(registers.get(name));
    }

    /** Returns all registers, sorted by name. */
    Collection<RegisterState> registers() {
        return registers.values();
    }

    boolean hasRoomFor(String name) {
        return registers.containsKey(name) || registers.size() < MAX_REGISTERS;
    }

    /** Promises to accept no values of lower terms; false if a higher term was promised. */
    boolean promise(long term) {
        if (term < promisedTerm) {
            return false;
        }
        promisedTerm = term;
        return true;
    }

    /**
     * Accepts a value; false if a higher term was promised, there are too many registers, or another value is chosen or
     * accepted under this term.
     */
    boolean accept(long term, String name, byte[] value) {
        RegisterState existing = registers.get(name);
        boolean valueFixed = existing != null && (existing.chosen() || existing.acceptedTerm() == term);
        if (term < promisedTerm || !hasRoomFor(name) || (valueFixed && !Arrays.equals(existing.value(), value))) {
            return false;
        }
        promisedTerm = term;
        if (!valueFixed) {
            registers.put(name, new RegisterState(name, term, value, false));
        }
        return true;
    }

    /** Records the chosen value of a register; false if another value is already recorded as chosen, which is kept. */
    boolean markChosen(String name, byte[] value) {
        RegisterState existing = registers.get(name);
        if (existing != null && existing.chosen()) {
            return Arrays.equals(existing.value(), value);
        }
        if (hasRoomFor(name)) {
            registers.put(name, new RegisterState(name, existing == null ? 0 : existing.acceptedTerm(), value, true));
        }
        return true;
    }

    /**
     * Merges the state of another voter after this voter's state was lost: the higher promise, and for each register
     * the chosen value or the value accepted under the higher term.
     */
    void mergePeerState(long peerPromisedTerm, Collection<RegisterState> peerRegisters) {
        promisedTerm = Math.max(promisedTerm, peerPromisedTerm);
        for (RegisterState state : peerRegisters) {
            RegisterState existing = registers.get(state.name());
            if (state.chosen()) {
                markChosen(state.name(), state.value());
            } else if (hasRoomFor(state.name())
                    && (existing == null || (!existing.chosen() && state.acceptedTerm() > existing.acceptedTerm()))) {
                registers.put(state.name(), state);
            }
        }
    }

    /**
     * Returns the value that a leader may propose: the reported value of the highest term, or its own if none was
     * reported.
     */
    static byte[] safeValue(Collection<RegisterState> reported, byte[] ownValue) {
        RegisterState highest = null;
        for (RegisterState state : reported) {
            if (highest == null || state.acceptedTerm() > highest.acceptedTerm()) {
                highest = state;
            }
        }
        return highest == null ? ownValue : highest.value();
    }

    /** Returns a hash of all chosen values; nodes with the same chosen values have equal fingerprints. */
    long chosenFingerprint() {
        long fingerprint = 0;
        for (RegisterState state : registers.values()) {
            if (state.chosen()) {
                byte[] text =
                        (state.name() + " " + StoredEntry.digest(state.value())).getBytes(StandardCharsets.US_ASCII);
                fingerprint ^=
                        ByteBuffer.wrap(StoredEntry.sha256().digest(text)).getLong();
            }
        }
        return fingerprint;
    }

    /** Returns the registers whose names follow {@code after}, up to a total of {@code maxBytes}. */
    List<RegisterState> page(String after, int maxBytes) {
        List<RegisterState> page = new ArrayList<>();
        int bytes = 0;
        for (RegisterState state : registers.tailMap(after, false).values()) {
            bytes += state.encodedBytes();
            if (bytes > maxBytes) {
                break;
            }
            page.add(state);
        }
        return page;
    }

    // ---- state file

    /** Encodes the content of the state file: CRC-32C of the remaining bytes, format, promised term, registers. */
    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES
                + registers.values().stream()
                        .mapToInt(RegisterState::encodedBytes)
                        .sum());
        out.putInt(0).putInt(FILE_FORMAT).putLong(promisedTerm).putShort((short) registers.size());
        registers.values().forEach(state -> state.encodeTo(out));
        byte[] bytes = Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(bytes).putInt(checksum(bytes));
        return bytes;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, Integer.BYTES, bytes.length - Integer.BYTES);
        return (int) crc.getValue();
    }

    /** Decodes the content of a state file; empty if the file is corrupt. */
    static Optional<PaxosAcceptor> decode(byte[] bytes) {
        if (bytes.length < Integer.BYTES) {
            return Optional.empty();
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.getInt() != checksum(bytes) || in.getInt() != FILE_FORMAT) {
                return Optional.empty();
            }
            PaxosAcceptor acceptor = new PaxosAcceptor();
            acceptor.promisedTerm = in.getLong();
            int count = in.getShort();
            for (int i = 0; i < count; i++) {
                RegisterState state = RegisterState.decode(in);
                acceptor.registers.put(state.name(), state);
            }
            return in.hasRemaining() ? Optional.empty() : Optional.of(acceptor);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
