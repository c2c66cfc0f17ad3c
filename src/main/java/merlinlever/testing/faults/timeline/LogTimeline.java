package merlinlever.testing.faults.timeline;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A timeline of real processes of one machine: what its harness did and saw, and what they logged. Their times are the
 * machine's clock to the ms; what happened at two of them within a few ms may be drawn the other way round.
 */
public final class LogTimeline {

    /** Lines begin so: the time, the level, and who of the program says it. */
    private static final String LEVELS = "INFO|WARN|ERROR";

    private record LogEntry(Instant at, String node, String what) {}

    private final Instant began;
    private final List<String> nodes;
    private final List<LogEntry> noted = new ArrayList<>();

    public LogTimeline(Instant began, List<String> nodes) {
        this.began = began;
        this.nodes = List.copyOf(nodes);
    }

    /** The harness did or saw that; written as {@link TimelineEvent#what}. Bounded as a timeline is. */
    public synchronized void note(Instant at, String node, String what) {
        if (noted.size() < Timeline.MOST) {
            noted.add(new LogEntry(at, node, what));
        }
    }

    /**
     * Draws the logs of several nodes as one timeline.
     *
     * @param logs of each node, its log; one that is not there has said nothing
     * @param from what is drawn of a log begins so after its level, for instance {@code recovery: }, and that is left out
     */
    public synchronized Timeline timeline(String title, Map<String, Path> logs, String from) throws IOException {
        Timeline timeline = new Timeline(title, nodes);
        for (LogEntry each : noted) {
            timeline.add(Duration.between(began, each.at), each.node, each.what);
        }
        for (Map.Entry<String, Path> log : logs.entrySet()) {
            if (Files.exists(log.getValue())) {
                for (String line : Files.readString(log.getValue(), StandardCharsets.UTF_8)
                        .lines()
                        .toList()) {
                    read(timeline, log.getKey(), line, from);
                }
            }
        }
        return timeline;
    }

    /** One that is no line of a log, or from before the beginning, is left out. */
    private void read(Timeline timeline, String node, String line, String from) {
        String[] part = line.split(" ", 3);
        if (part.length == 3 && part[1].matches(LEVELS) && part[2].startsWith(from)) {
            try {
                Instant at = Instant.parse(part[0]);
                if (!at.isBefore(began)) {
                    timeline.add(Duration.between(began, at), node, "* " + part[2].substring(from.length()));
                }
            } catch (DateTimeParseException e) {
                // Not one of ours: what the Java machine writes itself, say.
                return;
            }
        }
    }
}
