package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Encoding of a voter's state file and of the messages about registers. */
class RegisterCodecTest {

    private static PaxosAcceptor randomAcceptor(SplittableRandom random) {
        PaxosAcceptor acceptor = new PaxosAcceptor();
        for (int i = random.nextInt(5); i >= 0; i--) {
            acceptor.accept(random.nextInt(4), "r" + i, bytes("v".repeat(random.nextInt(20))));
            if (random.nextBoolean()) {
                acceptor.markChosen("w" + i, bytes("w"));
            }
        }
        return acceptor;
    }

    @Property(tries = 5000, seed = "34")
    void corruptFilesAndMessagesAreRejected(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PaxosAcceptor acceptor = randomAcceptor(random);
        assertCorruptFilesAreRejected(random, acceptor);
        byte[] message = new RegisterMessage(
                        RegisterMessage.Kind.values()[random.nextInt(9)],
                        random.nextInt(9),
                        random.nextLong(),
                        "r1",
                        List.copyOf(acceptor.registers()))
                .encode();
        assertArrayEquals(message, RegisterMessage.decode(message).orElseThrow().encode());
        assertTrue(RegisterMessage.decode(Arrays.copyOf(message, random.nextInt(message.length)))
                .isEmpty());
        for (int i = random.nextInt(4); i >= 0; i--) {
            message[random.nextInt(message.length)] = (byte) random.nextInt(256);
        }
        Optional<RegisterMessage> decoded = RegisterMessage.decode(message);
        assertTrue(
                decoded.isEmpty() || Arrays.equals(message, decoded.get().encode()),
                "a decoded message encodes to the same bytes");
        new PaxosFleet(3, 3, 3).nodes[0].receive(Duration.ofSeconds(1), "b1", message);
    }

    private static void assertCorruptFilesAreRejected(SplittableRandom random, PaxosAcceptor acceptor) {
        byte[] file = acceptor.encode();
        assertArrayEquals(file, PaxosAcceptor.decode(file).orElseThrow().encode());
        byte[] corrupted = file.clone();
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
        assertTrue(PaxosAcceptor.decode(corrupted).isEmpty());
        assertTrue(PaxosAcceptor.decode(Arrays.copyOf(file, random.nextInt(file.length)))
                .isEmpty());
    }

    @Test
    void numberOfRegistersIsLimitedAndChosenValuesAreKept() {
        PaxosAcceptor acceptor = new PaxosAcceptor();
        for (int i = 0; i < PaxosAcceptor.MAX_REGISTERS; i++) {
            assertTrue(acceptor.accept(1, "r" + i, new byte[PaxosAcceptor.MAX_VALUE_BYTES]));
        }
        assertFalse(acceptor.accept(1, "more", bytes("x")));
        assertTrue(acceptor.markChosen("r0", new byte[PaxosAcceptor.MAX_VALUE_BYTES]));
        assertFalse(acceptor.markChosen("r0", bytes("other")));
        assertFalse(acceptor.accept(9, "r0", bytes("other")));
        assertArrayEquals(
                new byte[PaxosAcceptor.MAX_VALUE_BYTES],
                acceptor.get("r0").orElseThrow().value(),
                "a chosen value never changes");
        assertEquals(
                PaxosAcceptor.MAX_REGISTERS,
                PaxosAcceptor.decode(acceptor.encode())
                        .orElseThrow()
                        .registers()
                        .size());
    }
}
