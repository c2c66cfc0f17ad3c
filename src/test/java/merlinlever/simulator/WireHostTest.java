package merlinlever.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the adapter with hand-written batches. */
class WireHostTest {

    private static final String ENLIST = "enlist who=backend-1 entropy=5 family-info.n-cores=2"
            + " family-info.memory-kb=9000 family-info.gauges=cpu_busy,runnable services.count=1"
            + " services.0.name=buy services.0.semantics=by_key services.0.aim=1000 services.0.hard-limit=2000"
            + " services.0.window=5000 some-new.key=1\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int serve(String input) throws IOException {
        return new WireHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .serve();
    }

    private void assertMalformed(String input, String expectedError) throws IOException {
        assertEquals(1, serve(input));
        assertEquals(expectedError, errors.toString(StandardCharsets.UTF_8).trim());
    }

    @Test
    void answersAnEmptyBatchAndReturnsAtTheEndOfInput() throws IOException {
        assertEquals(0, serve("frame now=1.5 n=1\neof_batch\n"));
        assertEquals("ready n=1\n", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void requestIsRetainedBeforeItsRun() throws IOException {
        assertEquals(
                0,
                serve("frame now=100.0 n=1\n" + ENLIST + "eof_batch\nframe now=105.0 n=2\n"
                        + "req who=backend-1 id=77 kind=buy size-kb=2.5 odd=1 unread-for=1.0"
                        + " origin-peer=3\neof_batch\n"));
        String reply = out.toString(StandardCharsets.UTF_8);
        int pin = reply.indexOf("pin who=backend-1 id=77 for-time=5000.000\n");
        assertTrue(pin > 0 && reply.indexOf("dispatch who=backend-1 id=77\n") > pin, reply);
        assertTrue(reply.endsWith("ready n=2\n"));
    }

    @Test
    void restartedInstanceHasNoRequestsOfItsPredecessor() throws IOException {
        assertEquals(
                0,
                serve("frame now=100.0 n=1\n" + ENLIST
                        + "req who=backend-1 id=77 kind=buy size-kb=2.5\nexit who=backend-1\n" + ENLIST
                        + "eof_batch\n"));
        String reply = out.toString(StandardCharsets.UTF_8);
        assertTrue(!reply.contains("id=77") && reply.contains("report_health who=backend-1 on=1"), reply);
    }

    @Test
    void malformedInputEndsTheHostWithOneErrorLine() throws IOException {
        assertMalformed("frame now=1.x n=1\neof_batch\n", "wirehost: line 1: not a number: now=1.x");
    }

    @Test
    void eventForAnUnknownInstanceIsMalformed() throws IOException {
        assertMalformed(
                "frame now=1 n=1\ndrain who=backend-9 not-after=5\neof_batch\n",
                "wirehost: line 2: unknown instance backend-9");
    }

    @Test
    void unknownEventIsMalformed() throws IOException {
        assertMalformed(
                "frame now=1 n=1\n" + ENLIST + "dance who=backend-1\neof_batch\n",
                "wirehost: line 3: unknown event dance");
    }

    @Test
    void truncatedBatchIsMalformed() throws IOException {
        assertMalformed("frame now=1 n=1\n" + ENLIST, "wirehost: line 3: the input ends within a batch");
    }

    @Test
    void controllerFailureIsReportedToTheSimulator() throws IOException {
        assertEquals(0, serve("frame now=1 n=1\n" + ENLIST.trim() + " family-info.class-skip-worth=x\neof_batch\n"));
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("die who=backend-1 line="));
    }
}
