package merlinlever.view;

import static merlinlever.view.ActionPermissions.Permission.LEASED;
import static merlinlever.view.ActionPermissions.Permission.NO;
import static merlinlever.view.ActionPermissions.Permission.YES;

import java.util.Map;

/** What may be done in which standing: the one table, asked by all who depend on the others. None makes a quorum of its own. */
public final class ActionPermissions {

    /** The answer: always, only while what was adopted holds its lease (then what is safe alone), or not at all. */
    public enum Permission {
        YES,
        LEASED,
        NO
    }

    /** In the order of {@link QuorumStatus}: whole, most, few, alone, disagreeing, returning. */
    private static final Map<GuardedAction, Permission[]> TABLE = Map.of(
            GuardedAction.DECIDE, new Permission[] {YES, YES, NO, NO, NO, NO},
            GuardedAction.GRANT, new Permission[] {YES, YES, NO, NO, NO, NO},
            GuardedAction.ADOPT, new Permission[] {YES, YES, NO, NO, NO, NO},
            GuardedAction.TIGHTEN, new Permission[] {YES, YES, YES, YES, YES, YES},
            GuardedAction.SERVE, new Permission[] {YES, YES, LEASED, LEASED, LEASED, NO},
            // Its own marks on the disk hold it; the others know nothing of what it ran (docs/fleet/recovery.md).
            GuardedAction.KEYED, new Permission[] {YES, YES, YES, YES, NO, NO});

    private ActionPermissions() {}

    public static Permission may(GuardedAction act, QuorumStatus standing) {
        return TABLE.get(act)[standing.ordinal()];
    }
}
