package merlinlever.testing.faults.audit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MemberStatus;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.MessageKind;
import org.junit.jupiter.api.Test;

class IncarnationAuditTest {

    private final IncarnationAudit audit = new IncarnationAudit();

    private static MembershipMessage telling(String from, String of, long incarnation) {
        return new MembershipMessage(
                MessageKind.PING,
                from,
                1,
                "",
                List.of(new MemberRecord(of, "127.0.0.1:1", "-", MemberStatus.ALIVE, incarnation)));
    }

    private void tells(String to, long incarnation) {
        audit.recordMessage("b-0", to, telling("b-0", "b-0", incarnation));
    }

    @Test
    void livesThatRiseAboveAllThatWasToldBreakNothing() {
        audit.recordStart("b-0");
        tells("b-1", 1);
        tells("b-2", 3);
        // Ways of their own: this one was sent before the last.
        tells("b-1", 2);
        audit.recordMessage("b-1", "b-0", telling("b-1", "b-0", 2));
        audit.recordStart("b-0");
        // A life that told nobody before its end leaves the next where it was.
        audit.recordStart("b-0");
        tells("b-1", 4);
        tells("b-1", 4);
        audit.recordStateLoss("b-0");
        audit.recordStart("b-0");
        tells("b-1", 1);
        tells("b-1", 5);
        assertEquals(List.of(), audit.violations());
        assertArrayEquals(new long[] {7, 0, 4}, audit.counts());
    }

    @Test
    void aPlantedRepeatAndEveryOtherBreachIsFound() {
        audit.recordStart("b-0");
        tells("b-1", 7);
        audit.recordStart("b-0");
        tells("b-2", 7);
        tells("b-2", 8);
        tells("b-2", 6);
        audit.recordStart("b-0");
        tells("b-1", 5);
        audit.recordMessage("b-0", "b-1", telling("b-2", "b-1", 9));
        audit.recordMessage("b-0", "b-1", null);
        assertEquals(
                List.of(
                        "b-0 tells incarnation 7 in life 2; its lives before told up to 7",
                        "b-0 tells b-2 incarnation 6 after 8 in life 2",
                        "b-0 tells incarnation 5 in life 3; its lives before told up to 8",
                        "b-0 sent under the name of b-2"),
                audit.violations());
        assertEquals(1, audit.counts()[1]);
        assertEquals(4, audit.violationCount());
    }
}
