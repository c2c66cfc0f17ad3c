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

    private static MembershipMessage messageAnnouncing(String sender, String member, long incarnation) {
        return new MembershipMessage(
                MessageKind.PING,
                sender,
                1,
                "",
                List.of(new MemberRecord(member, "127.0.0.1:1", "-", MemberStatus.ALIVE, incarnation)));
    }

    private void announce(String receiver, long incarnation) {
        audit.recordMessage("b-0", receiver, messageAnnouncing("b-0", "b-0", incarnation));
    }

    @Test
    void increasingIncarnationsAreNoViolation() {
        audit.recordStart("b-0");
        announce("b-1", 1);
        announce("b-2", 3);
        // Datagrams to different receivers may be recorded out of order.
        announce("b-1", 2);
        audit.recordMessage("b-1", "b-0", messageAnnouncing("b-1", "b-0", 2));
        audit.recordStart("b-0");
        // A run that announced nothing does not raise the minimum of the next run.
        audit.recordStart("b-0");
        announce("b-1", 4);
        announce("b-1", 4);
        audit.recordStateLoss("b-0");
        audit.recordStart("b-0");
        announce("b-1", 1);
        announce("b-1", 5);
        assertEquals(List.of(), audit.violations());
        assertArrayEquals(new long[] {7, 0, 4}, audit.counts());
    }

    @Test
    void repeatedAndDecreasingIncarnationsAreViolations() {
        audit.recordStart("b-0");
        announce("b-1", 7);
        audit.recordStart("b-0");
        announce("b-2", 7);
        announce("b-2", 8);
        announce("b-2", 6);
        audit.recordStart("b-0");
        announce("b-1", 5);
        audit.recordMessage("b-0", "b-1", messageAnnouncing("b-2", "b-1", 9));
        audit.recordMessage("b-0", "b-1", null);
        assertEquals(
                List.of(
                        "b-0 announced incarnation 7 in run 2; its previous runs announced up to 7",
                        "b-0 announced incarnation 6 to b-2 after 8 in run 2",
                        "b-0 announced incarnation 5 in run 3; its previous runs announced up to 8",
                        "b-0 sent a message under the name b-2"),
                audit.violations());
        assertEquals(1, audit.counts()[1]);
        assertEquals(4, audit.violationCount());
    }
}
