package merlinlever.view;

import static merlinlever.view.ActionPermissions.Permission.ALLOWED_WHILE_LEASED;
import static merlinlever.view.ActionPermissions.Permission.DENIED;
import static merlinlever.view.ActionPermissions.Permission.ALLOWED;

import java.util.Map;

/** What may be done in which standing: the one table, asked by all who depend on the others. None makes a quorum of its own. */
public final class ActionPermissions {

    /** The answer: always, only while what was adopted holds its lease (then what is safe alone), or not at all. */
    public enum Permission {
        ALLOWED,
        ALLOWED_WHILE_LEASED,
        DENIED
    }

    /** In the order of {@link QuorumStatus}: whole, most, few, alone, disagreeing, returning. */
    private static final Map<GuardedAction, Permission[]> TABLE = Map.of(
            GuardedAction.DECIDE, new Permission[] {ALLOWED, ALLOWED, DENIED, DENIED, DENIED, DENIED},
            GuardedAction.GRANT_QUOTA, new Permission[] {ALLOWED, ALLOWED, DENIED, DENIED, DENIED, DENIED},
            GuardedAction.ADOPT_WIDENING, new Permission[] {ALLOWED, ALLOWED, DENIED, DENIED, DENIED, DENIED},
            GuardedAction.ADOPT_RESTRICTION, new Permission[] {ALLOWED, ALLOWED, ALLOWED, ALLOWED, ALLOWED, ALLOWED},
            GuardedAction.USE_ADOPTED, new Permission[] {ALLOWED, ALLOWED, ALLOWED_WHILE_LEASED, ALLOWED_WHILE_LEASED, ALLOWED_WHILE_LEASED, DENIED},
            // Its own marks on the disk hold it; the others know nothing of what it ran (docs/fleet/recovery.md).
            GuardedAction.START_KEYED_REQUEST, new Permission[] {ALLOWED, ALLOWED, ALLOWED, ALLOWED, DENIED, DENIED});

    private ActionPermissions() {}

    public static Permission permission(GuardedAction act, QuorumStatus standing) {
        return TABLE.get(act)[standing.ordinal()];
    }
}
