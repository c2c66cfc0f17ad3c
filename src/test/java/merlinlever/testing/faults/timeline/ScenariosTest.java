package merlinlever.testing.faults.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Every play is drawn as it was when somebody looked at it; {@code -Dmerlinlever.renew=true} writes what is drawn now. */
class ScenariosTest {

    private static final Path GOLDEN = Path.of("src", "test", "resources", "timelines");
    private static final boolean RENEW = Boolean.getBoolean("merlinlever.renew");

    /** What differs, or null. */
    static String differs(String name, String wanted, String drawn) {
        List<String> was = wanted.lines().toList();
        List<String> is = drawn.lines().toList();
        for (int i = 0; i < Math.max(was.size(), is.size()); i++) {
            String one = i < was.size() ? was.get(i) : "(nothing)";
            String other = i < is.size() ? is.get(i) : "(nothing)";
            if (!one.equals(other)) {
                return name + " is drawn otherwise, first on line " + (i + 1) + ":\n  was " + one + "\n  is  " + other
                        + "\nnow it is\n" + drawn;
            }
        }
        return null;
    }

    @Test
    void everyPlayIsDrawnAsItWas() throws IOException {
        List<String> different = new ArrayList<>();
        for (var each : Scenarios.all().entrySet()) {
            Path file = GOLDEN.resolve(each.getKey() + ".txt");
            String drawn = TimelineRenderer.draw(each.getValue().get());
            if (drawn.contains(Scenario.BROKEN)) {
                // Whatever its file says.
                different.add(each.getKey() + ": something is so that must never be:\n" + drawn);
            } else if (RENEW) {
                Files.createDirectories(GOLDEN);
                Files.writeString(file, drawn);
            } else if (!Files.exists(file)) {
                different.add(each.getKey() + ": no file " + file + "; look at it and renew:\n" + drawn);
            } else {
                String told = differs(each.getKey(), Files.readString(file), drawn);
                if (told != null) {
                    different.add(told);
                }
            }
        }
        if (!different.isEmpty()) {
            fail(String.join("\n\n", different));
        }
    }

    @Test
    void thereIsNoFileWithoutItsPlay() throws IOException {
        if (RENEW) {
            // They may not be written yet.
            return;
        }
        try (Stream<Path> files = Files.list(GOLDEN)) {
            assertEquals(
                    new TreeSet<>(Scenarios.all().keySet()),
                    files.map(file -> file.getFileName().toString().replace(".txt", ""))
                            .collect(java.util.stream.Collectors.toCollection(TreeSet::new)));
        }
    }

    @Test
    void theFirstRowThatDiffersIsTold() {
        assertEquals(null, differs("a", "x\ny\n", "x\ny\n"));
        assertEquals(
                "a is drawn otherwise, first on line 2:\n  was y\n  is  z\nnow it is\nx\nz\n",
                differs("a", "x\ny\n", "x\nz\n"));
        assertEquals(
                "a is drawn otherwise, first on line 2:\n  was y\n  is  (nothing)\nnow it is\nx\n",
                differs("a", "x\ny\n", "x\n"));
    }
}
