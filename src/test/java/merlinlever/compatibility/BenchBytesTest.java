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
 * Replays nine seconds of events of one simulated server: load, duplicates, calls, overload, a stall and a drain. All
 * output lines, including log lines, have to equal the output of version 0.2.
 */
class BenchBytesTest {

    private static String[] lines(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n");
    }

    @Test
    void recordedEventsProduceRecordedDecisions() throws IOException {
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
