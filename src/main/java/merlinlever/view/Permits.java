package merlinlever.view;

import static merlinlever.view.Permits.May.LEASED;
import static merlinlever.view.Permits.May.NO;
import static merlinlever.view.Permits.May.YES;

import java.util.Map;

/** What may be done in which standing: the one table, asked by all who depend on the others. None makes a quorum of its own. */
public final class Permits {

    /** The answer: always, only while what was adopted holds its lease (then what is safe alone), or not at all. */
    public enum May {
        YES,
        LEASED,
        NO
    }

    /** In the order of {@link Standing}: whole, most, few, alone, disagreeing, returning. */
    private static final Map<Act, May[]> TABLE = Map.of(
            Act.DECIDE, new May[] {YES, YES, NO, NO, NO, NO},
            Act.GRANT, new May[] {YES, YES, NO, NO, NO, NO},
            Act.ADOPT, new May[] {YES, YES, NO, NO, NO, NO},
            Act.TIGHTEN, new May[] {YES, YES, YES, YES, YES, YES},
            Act.SERVE, new May[] {YES, YES, LEASED, LEASED, LEASED, NO},
            // Its own marks on the disk hold it; the others know nothing of what it ran (docs/fleet/recovery.md).
            Act.KEYED, new May[] {YES, YES, YES, YES, NO, NO});

    private Permits() {}

    public static May may(Act act, Standing standing) {
        return TABLE.get(act)[standing.ordinal()];
    }
}
