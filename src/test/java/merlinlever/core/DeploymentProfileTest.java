package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import merlinlever.Decision;
import merlinlever.Decisions;
import net.jqwik.api.Example;

/** The settings of a deployment's shape: checked, and watched without changing a decision. */
class DeploymentProfileTest {

    @Example
    void aShapeSettingOutsideWhatItAllowsIsOneClearLine() {
        List<String> problems = DeploymentProfile.problems(Map.of("server.halt", "pasue", "server.say", "weight"));
        assertEquals(List.of("settings: server.halt is \"pasue\"; allowed: drop, none, pause"), problems);
        assertEquals(
                1, DeploymentProfile.problems(Map.of("watch.readiness", "yes")).size());
        assertTrue(DeploymentProfile.problems(Map.of()).isEmpty(), "absent settings keep the present behaviour");
    }

    @Example
    void withoutWatchSettingsNothingIsWatched() {
        assertNull(DeploymentProfile.watching(Map.of("server.halt", "drop")));
    }

    @Example
    void haltsAndLevelsAreCountedWhereTheWatchedSettingsDiffer() {
        DeploymentProfile shape = DeploymentProfile.watching(Map.of(
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
        Decisions.Builder decisions = new Decisions.Builder();
        decisions.add(new Decision.Stop(ControllerDriver.UNKNOWN));
        decisions.add(new Decision.Stop(ControllerDriver.UNKNOWN));
        decisions.add(new Decision.SendBackpressure(0.3));
        decisions.add(new Decision.ReportHealth(false));
        shape.seen(decisions.build(Duration.ZERO));
        shape.seen(new Decisions.Builder().build(Duration.ZERO));
        assertEquals(Map.of("halt", 2L, "readiness", 1L), shape.otherwise(), "say is the same in both");
    }
}
