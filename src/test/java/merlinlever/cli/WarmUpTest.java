package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import org.junit.jupiter.api.Test;

/** Time limit of the warm-up. */
class WarmUpTest {

    /**
     * Guards against a warm-up that makes the startup too long on a slow processor, as indicated by the time before the
     * warm-up.
     */
    @Test
    void limitIsShorterAfterASlowStart() {
        Duration limitOnFullCore = WarmUp.timeLimit(Duration.ofMillis(100));
        assertEquals(Duration.ofMillis(2500), limitOnFullCore, "on a full core only the maximum applies");
        Duration limitOnSlowCore = WarmUp.timeLimit(Duration.ofSeconds(2));
        assertTrue(
                limitOnSlowCore.compareTo(limitOnFullCore.dividedBy(2)) < 0 && !limitOnSlowCore.isZero(),
                "" + limitOnSlowCore);
        // JVM start, program start and warm-up together take at most half of the ten seconds allowed for the startup.
        for (int ms = 0; ms < 2500; ms += 10) {
            assertTrue(2L * ms + WarmUp.timeLimit(Duration.ofMillis(ms)).toMillis() <= 5000);
        }
        assertEquals(Duration.ZERO, WarmUp.timeLimit(Duration.ofMillis(2500)));
        assertEquals(Duration.ZERO, WarmUp.timeLimit(Duration.ofSeconds(60)));
        ControllerSettings settings = ControllerSettings.builder()
                .addPriorityClass(PriorityClassSettings.named("look"))
                .build();
        assertEquals(0, WarmUp.run(settings, true, Duration.ZERO));
    }
}
