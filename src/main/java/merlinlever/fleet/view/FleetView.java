package merlinlever.fleet.view;

import java.time.Duration;

/** What this backend knows of its fleet as a whole, for the parts of the program that depend on the peers. */
public interface FleetView {

    /** How much of the fleet it speaks with. */
    QuorumStatus status(Duration now);

    /** When the present status began, since the process began. */
    Duration statusSince();

    /** The view that was adopted last; {@link MembershipView#NONE} before the first. */
    MembershipView view();

    /** Whether this backend may do the action now. */
    default ActionPermissions.Permission permission(Duration now, GuardedAction action) {
        return ActionPermissions.permission(action, status(now));
    }
}
