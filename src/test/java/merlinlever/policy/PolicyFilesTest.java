package merlinlever.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The operators print the files that the deploy file names: all that decides is found, and within their limits. */
final class PolicyFilesTest {

    private static final Path PACKAGE = Path.of("src/main/java/merlinlever/policy");
    /** The most lines of a file that the deploy file names, blank ones included. */
    private static final int MAX_LINES = 200;

    private static final int MAX_COLUMNS = 110;

    private static final Set<String> DECIDE_NOTHING = Set.of(
            "ControllerMetrics.java",
            "DecayingHistogram.java",
            "OverloadController.java",
            "PhaseTransitions.java",
            "PriorityClass.java",
            "RejectionReason.java",
            "Request.java",
            "RetentionTable.java",
            "RunQueueGauge.java",
            "ServerState.java",
            "package-info.java");

    private static Set<String> named() throws IOException {
        String row = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(row)
                .results()
                .map(m -> m.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void deployFileNamesAllFilesThatDecide() throws IOException {
        Set<String> found = new TreeSet<>();
        try (var files = Files.list(PACKAGE)) {
            files.filter(file -> !DECIDE_NOTHING.contains("" + file.getFileName()))
                    .forEach(file -> found.add("" + file));
        }
        assertEquals(found, named());
    }

    @Test
    void namedFilesKeepTheirLimits() throws IOException {
        for (String file : named()) {
            int lines = Files.readAllLines(Path.of(file)).size();
            assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines");
        }
        try (var files = Files.list(PACKAGE)) {
            for (Path file : files.toList()) {
                assertTrue(
                        Files.readAllLines(file).stream().allMatch(line -> line.length() <= MAX_COLUMNS),
                        "wide: " + file);
            }
        }
    }

    /** Every tuned value is a constant of a file that decides. */
    @Test
    void otherFilesTuneNothing() throws IOException {
        for (String file : DECIDE_NOTHING) {
            assertFalse(Files.readString(PACKAGE.resolve(file)).contains("static final"), file);
        }
    }
}
