package merlinlever.fleet.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class PersistedStateAssessorTest {

    private static final long WRITTEN_AT_UNIX_MS = 1_800_000_000_000L;
    private static final String OWNER = "b-1@127.0.0.1:1";
    private static final LoadedState LOADED = LoadedState.of(new PersistedState(
            OWNER, 64, 3, WRITTEN_AT_UNIX_MS + 3000, WRITTEN_AT_UNIX_MS, 12.5, List.of("127.0.0.1:2")));

    @Test
    void theWeightOfACapacityEstimateHalvesWithEachHalfLife() {
        TrustedState trusted = PersistedStateAssessor.assess(LOADED, OWNER, WRITTEN_AT_UNIX_MS + 600_000);
        assertEquals(2.0, trusted.estimateWeight(), 1e-9, "two half-lives after the write");
        assertEquals(65, trusted.incarnation());
    }

    @Test
    void theReservedIncarnationOfAnotherProcessIsAlsoALowerBound() {
        assertEquals(
                65,
                PersistedStateAssessor.assess(LOADED, "other@127.0.0.1:1", WRITTEN_AT_UNIX_MS)
                        .incarnation());
    }
}
