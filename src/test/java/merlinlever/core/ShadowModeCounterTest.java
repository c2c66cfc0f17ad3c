package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Optional;
import merlinlever.Decisions;
import net.jqwik.api.Example;

/** Shadow mode: settings that are compared with those in force without changing a decision. */
class ShadowModeCounterTest {

    @Example
    void withoutShadowSettingsNothingIsCounted() {
        assertEquals(Optional.empty(), ShadowModeCounter.of(Map.of("server.halt", "drop")));
    }

    @Example
    void decisionsAreCountedWhereShadowSettingsDiffer() {
        ShadowModeCounter counter = ShadowModeCounter.of(Map.of(
                        "server.halt", "drop",
                        "watch.halt", "pause",
                        "server.say", "level",
                        "watch.say", "level",
                        "watch.readiness", "true"))
                .orElseThrow();
        Decisions decisions = new Decisions();
        decisions.halted.add(ControllerDriver.UNKNOWN_REQUEST);
        decisions.halted.add(ControllerDriver.UNKNOWN_REQUEST);
        decisions.level = 0.3;
        decisions.healthy = false;
        counter.count(decisions);
        counter.count(new Decisions());
        assertEquals(Map.of("halt", 2L, "readiness", 1L), counter.differences(), "say is the same in both");
    }
}
