package merlinlever.fleet.view;

import java.util.Map;

/** What may be done at which quorum status: the one table for the whole program, so that no part makes up a quorum of its own. */
public final class ActionPermissions {

    /** The answer to whether an action may be done. */
    public enum Permission {
        ALLOWED,
        /** Only while what was adopted holds its lease; after that only what is safe in isolation. */
        ALLOWED_WHILE_LEASED,
        DENIED
    }

    private static final Map<QuorumStatus, Permission> WITH_QUORUM = row(
            Permission.ALLOWED,
            Permission.ALLOWED,
            Permission.DENIED,
            Permission.DENIED,
            Permission.DENIED,
            Permission.DENIED);

    private static final Map<GuardedAction, Map<QuorumStatus, Permission>> TABLE = Map.of(
            GuardedAction.DECIDE,
            WITH_QUORUM,
            GuardedAction.GRANT_QUOTA,
            WITH_QUORUM,
            GuardedAction.ADOPT_WIDENING,
            WITH_QUORUM,
            GuardedAction.ADOPT_RESTRICTION,
            row(
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED),
            GuardedAction.USE_ADOPTED,
            row(
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED_WHILE_LEASED,
                    Permission.ALLOWED_WHILE_LEASED,
                    Permission.ALLOWED_WHILE_LEASED,
                    Permission.DENIED),
            // The backend's own idempotency marks on disk guard these; the peers know nothing of what it ran
            // (docs/fleet/recovery.md).
            GuardedAction.START_NON_IDEMPOTENT_REQUEST,
            row(
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.ALLOWED,
                    Permission.DENIED,
                    Permission.DENIED));

    private ActionPermissions() {}

    private static Map<QuorumStatus, Permission> row(
            Permission full,
            Permission majority,
            Permission minority,
            Permission isolated,
            Permission conflicting,
            Permission recovering) {
        return Map.of(
                QuorumStatus.FULL, full,
                QuorumStatus.MAJORITY, majority,
                QuorumStatus.MINORITY, minority,
                QuorumStatus.ISOLATED, isolated,
                QuorumStatus.CONFLICTING, conflicting,
                QuorumStatus.RECOVERING, recovering);
    }

    /** Whether a backend of that status may do the action. */
    public static Permission permission(GuardedAction action, QuorumStatus status) {
        return TABLE.get(action).get(status);
    }
}
