package merlinlever.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.RawSettings;
import merlinlever.controller.settings.SettingsParser;
import org.junit.jupiter.api.Test;

/** Tests the count of decisions that a shadow profile would change. */
class ShadowModeCounterTest {

    private static ControllerSettings settingsOf(Map<String, String> given) {
        return SettingsParser.parse(RawSettings.of(given));
    }

    @Test
    void noCounterWithoutShadowSettings() {
        assertEquals(Optional.empty(), ShadowModeCounter.of(settingsOf(Map.of("family-info.halt", "drop"))));
    }

    @Test
    void countsDecisionsForSettingsThatDiffer() {
        ShadowModeCounter counter = ShadowModeCounter.of(settingsOf(Map.of(
                        "family-info.halt", "drop",
                        "watch.halt", "pause",
                        "family-info.say", "level",
                        "watch.say", "level",
                        "watch.readiness", "true")))
                .orElseThrow();
        Decisions.Builder decisions = new Decisions.Builder();
        decisions.add(new Decision.Stop(ControllerDriver.UNKNOWN_REQUEST));
        decisions.add(new Decision.Stop(ControllerDriver.UNKNOWN_REQUEST));
        decisions.add(new Decision.SendBackpressure(0.3));
        decisions.add(new Decision.ReportHealth(false));
        counter.count(decisions.build(Duration.ZERO));
        counter.count(new Decisions.Builder().build(Duration.ZERO));
        assertEquals(
                Map.of("halt", 2L, "readiness", 1L),
                counter.differences(),
                "the setting say is the same in both profiles");
    }
}
