package merlinlever.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeSet;
import merlinlever.compatibility.Fixture;
import org.junit.jupiter.api.Test;

/** Pins the bytes of a complete view and of a difference from a base view. */
class ViewBytesTest {

    @Test
    void theBytesOfACompleteViewAndOfADifferenceAreUnchanged() {
        Fixture fixture = new Fixture("view.txt");
        MembershipView first =
                MembershipView.of(MembershipView.numberOf(3, 1), new TreeSet<>(List.of("b0", "b1", "b2")));
        MembershipView second =
                MembershipView.of(MembershipView.numberOf(3, 2), new TreeSet<>(List.of("b0", "b2", "b3")));
        ViewCodec sender = new ViewCodec();
        sender.remember(first);
        sender.remember(second);
        ViewCodec receiver = new ViewCodec();
        fixture.assertMatches("whole", sender.encode(first, 0));
        assertEquals(first, receiver.decode(fixture.bytes("whole")));
        receiver.remember(first);
        fixture.assertMatches("difference", sender.encode(second, first.number()));
        assertEquals(second, receiver.decode(fixture.bytes("difference")));
    }
}
