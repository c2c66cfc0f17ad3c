package merlinlever.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeSet;
import merlinlever.compatibility.Fixture;
import org.junit.jupiter.api.Test;

/** Views as they are sent, whole and as a difference. */
class ViewBytesTest {

    @Test
    void aViewAndADifference() {
        Fixture fixture = new Fixture("view.txt");
        MembershipView first =
                MembershipView.of(MembershipView.numberOf(3, 1), new TreeSet<>(List.of("b0", "b1", "b2")));
        MembershipView second =
                MembershipView.of(MembershipView.numberOf(3, 2), new TreeSet<>(List.of("b0", "b2", "b3")));
        ViewCodec here = new ViewCodec();
        here.remember(first);
        here.remember(second);
        ViewCodec there = new ViewCodec();
        fixture.pins("whole", here.encode(first, 0));
        assertEquals(first, there.decode(fixture.bytes("whole")));
        there.remember(first);
        fixture.pins("difference", here.encode(second, first.number()));
        assertEquals(second, there.decode(fixture.bytes("difference")));
    }
}
