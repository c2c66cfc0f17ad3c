package merlinlever.fleet.view;

import java.util.Map;

/**
 * The permitted actions by quorum status. All components use this table, so that they agree on which actions require a
 * quorum.
 */
public final class ActionPermissions {

    /** The permission for an action. */
    public enum Permission {
        ALLOWED,
        /**
         * Permitted until the lease of the adopted state expires; afterwards only as far as it is safe in isolation.
         */
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
            // These requests do not need a quorum: the backend prevents duplicates with its own reservations on disk,
            // as its peers do not know which requests it has run (docs/fleet/recovery.md).
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

    /** Returns the permission for the action on a backend with this quorum status. */
    public static Permission permission(GuardedAction action, QuorumStatus status) {
        return TABLE.get(action).get(status);
    }
}
