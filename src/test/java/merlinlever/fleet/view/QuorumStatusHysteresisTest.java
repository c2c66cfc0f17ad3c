package merlinlever.fleet.view;

import static merlinlever.fleet.view.ViewFixture.ms;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class QuorumStatusHysteresisTest {

    @Test
    void aWorseStatusIsShownAtOnceAndABetterOneAfterADelay() {
        QuorumStatusHysteresis hysteresis = new QuorumStatusHysteresis(ms(0), ms(1000));
        int changes = 0;
        for (int at = 0; at < 20_000; at += 50) {
            QuorumStatus flapping = at / 500 % 2 == 0 ? QuorumStatus.MAJORITY : QuorumStatus.MINORITY;
            changes += hysteresis.update(ms(at), flapping) ? 1 : 0;
        }
        assertEquals(1, changes, "the shown status does not flap");
        assertEquals(QuorumStatus.MINORITY, hysteresis.shown());
        assertFalse(hysteresis.update(ms(20_000), QuorumStatus.FULL));
        assertTrue(hysteresis.update(ms(21_050), QuorumStatus.MAJORITY));
        assertTrue(hysteresis.update(ms(21_100), QuorumStatus.ISOLATED));
    }
}
