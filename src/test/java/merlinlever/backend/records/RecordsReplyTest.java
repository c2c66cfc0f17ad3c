package merlinlever.backend.records;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import merlinlever.common.net.CloseReason;
import merlinlever.controller.Outcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RecordsReplyTest {

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void eachStatusMapsToItsOutcomeAndOnlySomeProveThatTheCallHadNoEffect()
            throws RecordsReply.MalformedReplyException {
        String[] statuses = {"DONE 0\r\n", "WAIT", "ERROR", "PAST", "EMPTY"};
        Outcome[] outcomes = {Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.NOT_STARTED};
        for (int i = 0; i < statuses.length; i++) {
            byte[] bytes = ascii("9b1f03aa5c7e2d41 " + statuses[i] + "\r\n");
            RecordsReply reply = RecordsReply.parse(bytes, 0, bytes.length).orElseThrow();
            assertEquals(outcomes[i], reply.outcome());
            assertEquals(bytes.length, reply.end());
            assertEquals(
                    statuses[i].equals("WAIT") || statuses[i].equals("EMPTY"),
                    reply.outcome().provesNoEffect());
        }
    }

    @Property(tries = 200, seed = "46")
    void aReplyIsParsedOnceItIsComplete(@ForAll byte[] body) throws RecordsReply.MalformedReplyException {
        byte[] head = ascii("9b1f03aa5c7e2d41 DONE " + body.length + "\r\n");
        byte[] received = new byte[head.length + body.length + 5];
        System.arraycopy(head, 0, received, 0, head.length);
        System.arraycopy(body, 0, received, head.length, body.length);
        System.arraycopy(ascii("\r\nabc"), 0, received, head.length + body.length, 5);
        int replyEnd = received.length - 3;
        for (int limit = 0; limit <= received.length; limit++) {
            Optional<RecordsReply> reply = RecordsReply.parse(received, 0, limit);
            if (limit < replyEnd) {
                assertEquals(Optional.empty(), reply);
            } else {
                assertArrayEquals(body, reply.orElseThrow().body());
                assertEquals(replyEnd, reply.orElseThrow().end());
            }
        }
    }

    @Test
    void invalidBytesAreMalformed() {
        for (String malformed : new String[] {
            "x",
            "9b1f03aa5c7e2d41",
            "9b1f03aa5c7e2d41 GONE",
            "9b1f03aa5c7e2d41 DONE",
            "9b1f03aa5c7e2d41 DONE -1",
            "9b1f03aa5c7e2d41 DONE 99999",
            "9b1f03aa5c7e2d41 DONE 1 2",
            "9b1f03aa5c7e2d41 DONE 1\r\nabc",
            "a".repeat(200)
        }) {
            byte[] bytes = ascii(malformed + "\r\n");
            assertThrows(
                    RecordsReply.MalformedReplyException.class,
                    () -> RecordsReply.parse(bytes, 0, bytes.length),
                    malformed);
        }
        // Bytes that cannot be the beginning of a reply are rejected without waiting for the end of the line.
        for (String withoutLineEnd : new String[] {"a".repeat(200), "9b1f\u0003x", "\u00e9t\u00e9"}) {
            byte[] bytes = ascii(withoutLineEnd);
            assertThrows(RecordsReply.MalformedReplyException.class, () -> RecordsReply.parse(bytes, 0, bytes.length));
        }
    }

    @Test
    void onlyAConnectionThatWasNeverEstablishedProvesThatTheCallHadNoEffect() {
        assertEquals(Outcome.UNREACHABLE, RecordsClient.callOutcome(CloseReason.CONNECT_FAILED));
        assertEquals(Outcome.UNREACHABLE, RecordsClient.callOutcome(CloseReason.CONNECT_TIMEOUT));
        assertEquals(Outcome.CONNECTION_LOST, RecordsClient.callOutcome(CloseReason.IO_FAILURE));
        assertEquals(Outcome.CONNECTION_LOST, RecordsClient.callOutcome(CloseReason.CLOSED_BY_PEER));
    }
}
