package merlinlever.fleet.view;

import java.time.Duration;

/** The quorum status and the membership view of this backend, for components that depend on the peers. */
public interface FleetView {

    /** Returns the quorum status of this backend. */
    QuorumStatus status(Duration now);

    /** Returns when the current status began, measured from the start of the process. */
    Duration statusSince();

    /** Returns the adopted view, or {@link MembershipView#NONE} before the first adoption. */
    MembershipView view();

    /** Returns the current permission of this backend for the action. */
    default ActionPermissions.Permission permission(Duration now, GuardedAction action) {
        return ActionPermissions.permission(action, status(now));
    }
}
