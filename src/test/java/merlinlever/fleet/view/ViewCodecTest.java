package merlinlever.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ViewCodecTest {

    private final ViewCodec sender = new ViewCodec();
    private final ViewCodec receiver = new ViewCodec();
    private final MembershipView first = MembershipView.of(MembershipView.numberOf(3, 1), ViewFixture.names(5));
    private final MembershipView second = MembershipView.of(MembershipView.numberOf(3, 2), changedNames());

    private static TreeSet<String> changedNames() {
        TreeSet<String> names = ViewFixture.names(6);
        names.remove("b2");
        return names;
    }

    @Test
    void aViewIsDecodedFromItsCompleteFormOrFromADifferenceWithAKnownBase() {
        sender.remember(first);
        sender.remember(second);
        assertEquals(first, receiver.decode(sender.encode(first, 0)));
        byte[] difference = sender.encode(second, first.number());
        assertNull(receiver.decode(difference), "the receiver does not have the base view");
        receiver.remember(first);
        assertEquals(second, receiver.decode(difference));
        assertTrue(difference.length < sender.encode(second, 0).length);
    }

    @Test
    void aCorruptedPayloadIsNeverDecodedToADifferentView() {
        sender.remember(first);
        sender.remember(second);
        receiver.remember(first);
        byte[] difference = sender.encode(second, first.number());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2000; i++) {
            byte[] corrupted = difference.clone();
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(7));
            MembershipView decoded = ViewCodec.isViewPayload(corrupted) ? receiver.decode(corrupted) : null;
            assertTrue(
                    decoded == null || decoded.equals(second),
                    () -> "decoded: " + new String(corrupted, StandardCharsets.US_ASCII));
        }
    }

    @Test
    void theDigestDependsOnTheNumber() {
        assertNotEquals(
                MembershipView.of(1, ViewFixture.names(3)).digest(),
                MembershipView.of(2, ViewFixture.names(3)).digest());
    }
}
