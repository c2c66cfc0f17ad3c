package merlinlever.testing.faults.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import merlinlever.testing.faults.TestDirectories;
import org.junit.jupiter.api.Test;

class LogTimelineTest {

    @Test
    void whatTheHarnessDidAndWhatTheProcessesLoggedAreOneTimeline() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-logs");
        try {
            Path one = Files.writeString(
                    root.resolve("one"),
                    """
                    2026-12-02T00:59:59.999Z INFO recovery: from before
                    2026-12-02T01:00:00.250Z INFO recovery: leader-changed leader=b-1 term=3
                    2026-12-02T01:00:00.260Z INFO config: not of this
                    Exception in thread "main"
                    soon WARN recovery: of no time
                    2026-12-02T01:00:02.000Z WARN recovery: leader-unknown
                    """);
            LogTimeline logs = new LogTimeline(Instant.parse("2026-12-02T01:00:00Z"), List.of("b-0", "b-1"));
            logs.note(Instant.parse("2026-12-02T01:00:01.500Z"), "b-1", TimelineEvent.KILLED);
            Timeline timeline = logs.timeline("", Map.of("b-0", one, "b-1", root.resolve("none")), "recovery: ");
            assertEquals(3, timeline.events().size(), "" + timeline.events());
            assertNull(timeline.missing("b-0 leader-changed leader=b-1", "b-1 killed", "b-0 leader-unknown"));
            assertEquals(
                    "b-0 leader-changed leader=b-1", timeline.missing("b-1 killed", "b-0 leader-changed leader=b-1"));
            assertEquals(250, timeline.events().get(0).at().toMillis());
        } finally {
            TestDirectories.remove(root);
        }
    }
}
