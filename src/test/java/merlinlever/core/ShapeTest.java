package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import merlinlever.Settled;
import net.jqwik.api.Example;

/** The settings of a deployment's shape: checked, and watched without changing a decision. */
class ShapeTest {

    @Example
    void aShapeSettingOutsideWhatItAllowsIsOneClearLine() {
        List<String> problems = Shape.problems(Map.of("server.halt", "pasue", "server.say", "weight"));
        assertEquals(List.of("settings: server.halt is \"pasue\"; allowed: drop, none, pause"), problems);
        assertEquals(1, Shape.problems(Map.of("watch.readiness", "yes")).size());
        assertTrue(Shape.problems(Map.of()).isEmpty(), "absent settings keep the present behaviour");
    }

    @Example
    void withoutWatchSettingsNothingIsWatched() {
        assertNull(Shape.watching(Map.of("server.halt", "drop")));
    }

    @Example
    void haltsAndLevelsAreCountedWhereTheWatchedSettingsDiffer() {
        Shape shape = Shape.watching(Map.of(
                "server.halt",
                "drop",
                "watch.halt",
                "pause",
                "server.say",
                "level",
                "watch.say",
                "level",
                "watch.readiness",
                "true"));
        Settled settled = new Settled();
        settled.halted.add(Conductor.UNKNOWN);
        settled.halted.add(Conductor.UNKNOWN);
        settled.level = 0.3;
        settled.healthy = false;
        shape.seen(settled);
        shape.seen(new Settled());
        assertEquals(Map.of("halt", 2L, "readiness", 1L), shape.otherwise(), "say is the same in both");
    }
}
