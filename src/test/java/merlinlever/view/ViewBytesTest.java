package merlinlever.view;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeSet;
import merlinlever.compatibility.Fixture;
import net.jqwik.api.Example;

/** Views as they are sent, whole and as a difference. */
class ViewBytesTest {

    @Example
    void aViewAndADifference() {
        Fixture fixture = new Fixture("view.txt");
        MembershipView first = MembershipView.of(MembershipView.number(3, 1), new TreeSet<>(List.of("b0", "b1", "b2")));
        MembershipView second =
                MembershipView.of(MembershipView.number(3, 2), new TreeSet<>(List.of("b0", "b2", "b3")));
        ViewCodec here = new ViewCodec();
        here.latest(first);
        here.latest(second);
        ViewCodec there = new ViewCodec();
        fixture.pins("whole", here.of(first, 0));
        assertEquals(first, there.read(fixture.bytes("whole")));
        there.latest(first);
        fixture.pins("difference", here.of(second, first.number()));
        assertEquals(second, there.read(fixture.bytes("difference")));
    }
}
