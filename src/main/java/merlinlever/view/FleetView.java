package merlinlever.view;

import java.time.Duration;

/** What this backend knows of the fleet as a whole, for those who depend on it. */
public interface FleetView {

    QuorumStatus standing(Duration now);

    /** When the present standing began. */
    Duration since();

    /** The one adopted last; {@link MembershipView#NONE} before the first. */
    MembershipView view();

    /** The answer of the one table. */
    default ActionPermissions.Permission may(Duration now, GuardedAction act) {
        return ActionPermissions.may(act, standing(now));
    }
}
