package merlinlever.testing.faults.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimelineRendererTest {

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    /** The drawn rows without title, head and legend. */
    private static List<String> rows(Timeline timeline) {
        List<String> lines = TimelineRenderer.draw(timeline).lines().toList();
        return lines.subList(4, lines.size() - 3);
    }

    @Test
    void aSmallOneIsDrawnSo() {
        Timeline timeline = new Timeline("One asks, the other is killed", List.of("b1", "b2", "b3"));
        timeline.add(ms(0), "b1", "> b2: ask");
        timeline.add(ms(0), "b1", "> b3: ask");
        timeline.add(ms(0), "b3", "* alone");
        timeline.add(ms(10), "b2", "< b1: ask");
        timeline.add(ms(1000), "", "b2 | b1 b3 part");
        timeline.add(ms(1000), "b2", "! killed");
        timeline.add(ms(1020), "b3", "! stands still");
        timeline.add(ms(1030), "b1", "x b2: ask");
        timeline.add(ms(123456), "b2", "! starts, with a reason that does not fit into its column");
        assertEquals(
                """
                One asks, the other is killed

                     ms | b1                           | b2                           | b3
                        | ---------------------------- | ---------------------------- | ----------------------------
                      0 | > b2 b3: ask                 |                              | * alone
                     10 |                              | < b1: ask                    |
                   1000 == b2 | b1 b3 part =========================================================================
                        |                              | ! killed                     |
                   1020 |                                                             | ! stands still
                   1030 | x b2: ask                                                   :
                 123456 |                              | ! starts, with a reason that :
                        |                              |   does not fit into its      :
                        |                              |   column                     :

                > to: says   x to: says, and it is lost   < from: hears   * believes or decides   ! is done to it
                | runs   : stands still   (no line) is down   == for all   (x3 to 900) three times, last at 900
                """,
                TimelineRenderer.draw(timeline));
    }

    @Test
    void repeatsAreFoldedUntilSomethingTurnsInTheirColumn() {
        Timeline timeline = new Timeline("", List.of("b1", "b2"));
        for (int i = 0; i < 4; i++) {
            timeline.add(ms(i * 100L), "b1", "> b2: ask");
            // The other's are no reason to count anew.
            timeline.add(ms(i * 100 + 50), "b2", "* heard " + i);
        }
        timeline.add(ms(500), "b1", "* gives up");
        timeline.add(ms(600), "b1", "> b2: ask");
        timeline.add(ms(600), "b1", "> b2: ask");
        timeline.add(ms(700), "", "healed");
        timeline.add(ms(800), "b1", "> b2: ask");
        List<String> rows = rows(timeline);
        assertEquals(9, rows.size(), "" + rows);
        assertTrue(rows.get(0).startsWith("      0 | > b2: ask (x4 to 300)  "), rows.get(0));
        assertTrue(rows.get(6).startsWith("    600 | > b2: ask (x2 to 600)  "), rows.get(6));
        assertTrue(rows.get(8).startsWith("    800 | > b2: ask  "), rows.get(8));
    }

    @Test
    void upToFiveNodesAreNoWiderThanATerminalAndSevenAreAllThere() {
        for (int nodes = 1; nodes <= 7; nodes++) {
            List<String> names = java.util.stream.IntStream.range(0, nodes)
                    .mapToObj(i -> "b" + i)
                    .toList();
            Timeline timeline = new Timeline("", names);
            for (String name : names) {
                // At the same moment at each, some without a space to wrap at.
                timeline.add(ms(5), name, "* members " + "abcdefghij".repeat(6) + " and more");
            }
            timeline.add(ms(9), "", "word ".repeat(60));
            for (String row : rows(timeline)) {
                assertTrue(row.length() <= Math.max(TimelineRenderer.WIDTH, 7 + 17 * nodes), row);
            }
            String together = String.join("", rows(timeline)).replaceAll("[ |]", "");
            assertTrue(together.contains("word"), together);
            int last = nodes;
            String one = rows(timeline).stream()
                    .filter(row -> row.startsWith(" ") && row.contains("|"))
                    .map(row -> row.split("\\|")[last].strip())
                    .reduce("", String::concat);
            assertTrue(
                    one.replace(" ", "").contains("*members" + "abcdefghij".repeat(6) + "andmore"), nodes + ": " + one);
        }
    }

    @Test
    void eventsComeInTheOrderOfTimeAndAreBounded() {
        Timeline timeline = new Timeline("", List.of("b1"));
        timeline.add(ms(20), "b1", "* second");
        timeline.add(ms(10), "b1", "* first");
        assertNull(timeline.missing("b1 first", "b1 second"));
        assertEquals("b1 first", timeline.missing("b1 second", "b1 first"));
        for (int i = 0; i < Timeline.MOST; i++) {
            timeline.add(ms(i), "b1", "* " + i);
        }
        assertEquals(Timeline.MOST, timeline.events().size());
        assertEquals(2, timeline.left());
        assertTrue(TimelineRenderer.draw(timeline).contains("... and 2 more"));
    }
}
