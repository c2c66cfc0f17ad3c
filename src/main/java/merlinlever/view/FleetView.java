package merlinlever.view;

import java.time.Duration;

/** What this backend knows of the fleet as a whole, for those who depend on it. */
public interface FleetView {

    QuorumStatus status(Duration now);

    /** When the present standing began. */
    Duration statusSince();

    /** The one adopted last; {@link MembershipView#NONE} before the first. */
    MembershipView view();

    /** The answer of the one table. */
    default ActionPermissions.Permission permission(Duration now, GuardedAction act) {
        return ActionPermissions.permission(act, status(now));
    }
}
