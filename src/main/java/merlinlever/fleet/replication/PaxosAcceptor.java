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
 * What a voter has promised and accepted, and which registers it knows to be written: the acceptor of single-decree Paxos (Lamport 1998,
 * 2001), one decree for each register and one promise for all of them. An answer based on this state may leave only once
 * {@link #encode} is on the disk.
 */
final class PaxosAcceptor {

    /** Registers are never dropped, as a forgotten one could be written a second time. */
    static final int MAX_REGISTERS = 256;

    static final int MAX_VALUE_BYTES = 1 << 10;

    /** "MLD1": the first bytes of the file after its checksum. */
    private static final int FILE_FORMAT = 0x4d4c4431;

    private static final int HEADER_BYTES = 24;

    private long promisedTerm;
    private final TreeMap<String, RegisterState> registers = new TreeMap<>();

    long promisedTerm() {
        return promisedTerm;
    }

    /** The register's state, if anything was accepted for it. */
    Optional<RegisterState> get(String name) {
        return Optional.ofNullable(registers.get(name));
    }

    /** All registers, sorted by name. */
    Collection<RegisterState> registers() {
        return registers.values();
    }

    boolean hasRoomFor(String name) {
        return registers.containsKey(name) || registers.size() < MAX_REGISTERS;
    }

    /** Promises to accept nothing of lower terms; false if a higher term was promised. */
    boolean promise(long term) {
        if (term < promisedTerm) {
            return false;
        }
        promisedTerm = term;
        return true;
    }

    /** Accepts a value; false if a higher term was promised, the table is full, or the register is bound to another value. */
    boolean accept(long term, String name, byte[] value) {
        RegisterState known = registers.get(name);
        boolean bound = known != null && (known.chosen() || known.acceptedTerm() == term);
        if (term < promisedTerm || !hasRoomFor(name) || (bound && !Arrays.equals(known.value(), value))) {
            return false;
        }
        promisedTerm = term;
        if (!bound) {
            registers.put(name, new RegisterState(name, term, value, false));
        }
        return true;
    }

    /** Records the value of a written register; false if another one is known to be written, which stays. */
    boolean markChosen(String name, byte[] value) {
        RegisterState known = registers.get(name);
        if (known != null && known.chosen()) {
            return Arrays.equals(known.value(), value);
        }
        if (hasRoomFor(name)) {
            registers.put(name, new RegisterState(name, known == null ? 0 : known.acceptedTerm(), value, true));
        }
        return true;
    }

    /** Takes over what another voter holds, after the own state was lost: the latest of each, and the highest promise. */
    void mergePeerState(long peerPromisedTerm, Collection<RegisterState> peerRegisters) {
        promisedTerm = Math.max(promisedTerm, peerPromisedTerm);
        for (RegisterState state : peerRegisters) {
            RegisterState known = registers.get(state.name());
            if (state.chosen()) {
                markChosen(state.name(), state.value());
            } else if (hasRoomFor(state.name())
                    && (known == null || (!known.chosen() && state.acceptedTerm() > known.acceptedTerm()))) {
                registers.put(state.name(), state);
            }
        }
    }

    /** The value that a leader may propose: of those that voters reported the one of the highest term, or else its own. */
    static byte[] safeValue(Collection<RegisterState> reported, byte[] ownValue) {
        RegisterState highest = null;
        for (RegisterState state : reported) {
            if (highest == null || state.acceptedTerm() > highest.acceptedTerm()) {
                highest = state;
            }
        }
        return highest == null ? ownValue : highest.value();
    }

    /** A hash over all written registers: equal where two voters know the same of them. */
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

    /** The registers whose names follow {@code after}, as many as fit into so many bytes. */
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

    // ---- the file

    /** The content of the state file: CRC-32C of the rest, format, promise, registers. */
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

    /** The state in a file, or nothing if it is corrupt. */
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
