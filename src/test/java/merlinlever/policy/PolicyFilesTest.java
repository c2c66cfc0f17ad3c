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

/** Checks that the deploy file lists every file with decision logic, and that these files fit on printed pages. */
final class PolicyFilesTest {

    private static final Path PACKAGE = Path.of("src/main/java/merlinlever/policy");
    /** Maximum number of lines of a file that the deploy file lists, including blank lines. */
    private static final int MAX_LINES = 200;

    private static final int MAX_COLUMNS = 110;

    private static final Set<String> WITHOUT_DECISION_LOGIC = Set.of(
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

    private static Set<String> listedFiles() throws IOException {
        String policyLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(policyLine)
                .results()
                .map(m -> m.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void deployFileListsEveryFileWithDecisionLogic() throws IOException {
        Set<String> found = new TreeSet<>();
        try (var files = Files.list(PACKAGE)) {
            files.filter(file -> !WITHOUT_DECISION_LOGIC.contains("" + file.getFileName()))
                    .forEach(file -> found.add("" + file));
        }
        assertEquals(found, listedFiles());
    }

    @Test
    void listedFilesKeepTheSizeLimits() throws IOException {
        for (String file : listedFiles()) {
            int lines = Files.readAllLines(Path.of(file)).size();
            assertTrue(lines <= MAX_LINES, file + " has " + lines + " lines");
        }
        try (var files = Files.list(PACKAGE)) {
            for (Path file : files.toList()) {
                assertTrue(
                        Files.readAllLines(file).stream().allMatch(line -> line.length() <= MAX_COLUMNS),
                        "line too long in " + file);
            }
        }
    }

    /** Constants that tune decisions belong into files with decision logic. */
    @Test
    void filesWithoutDecisionLogicHaveNoConstants() throws IOException {
        for (String file : WITHOUT_DECISION_LOGIC) {
            assertFalse(Files.readString(PACKAGE.resolve(file)).contains("static final"), file);
        }
    }
}
