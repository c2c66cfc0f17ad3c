package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import org.junit.jupiter.api.Test;

/** How long the start may rehearse. */
class WarmUpTest {

    /** Against a rehearsal that takes a start on little processor beyond its time: what came before it tells how slow it is. */
    @Test
    void isShortenedWhereTheStartWasSlow() {
        Duration whole = WarmUp.timeLimit(Duration.ofMillis(100));
        assertEquals(Duration.ofMillis(2500), whole, "on a whole core it is bounded by itself");
        Duration twentieth = WarmUp.timeLimit(Duration.ofSeconds(2));
        assertTrue(twentieth.compareTo(whole.dividedBy(2)) < 0 && !twentieth.isZero(), "" + twentieth);
        // Runtime, program and rehearsal are over in half of the ten seconds, wherever it rehearses at all.
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
