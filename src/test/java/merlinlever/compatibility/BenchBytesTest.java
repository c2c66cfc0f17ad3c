package merlinlever.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import merlinlever.simulator.WireHost;
import org.junit.jupiter.api.Test;

/**
 * Nine seconds of one server on the simulator's wire (load, duplicates, calls, overload, a stall, a drain): the decisions and
 * the text of each line are those that version 0.2 sent, log lines among them.
 */
class BenchBytesTest {

    private static String[] lines(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n");
    }

    @Test
    void theSameEventsAreAnsweredWithTheSameBytes() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (InputStream events = BenchBytesTest.class.getResourceAsStream("/compatibility/bench-events.txt");
                InputStream decisions =
                        BenchBytesTest.class.getResourceAsStream("/compatibility/bench-decisions.txt")) {
            assertEquals(0, new WireHost(events, out, System.err).serve());
            assertArrayEquals(
                    lines(decisions), out.toString(StandardCharsets.UTF_8).split("\n"));
        }
    }
}
