package merlinlever.fleet.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import merlinlever.fleet.view.ActionPermissions.Permission;
import org.junit.jupiter.api.Test;

class ActionPermissionsTest {

    @Test
    void eachActionHasAPermissionForEachStatus() {
        for (GuardedAction action : GuardedAction.values()) {
            for (QuorumStatus status : QuorumStatus.values()) {
                assertNotNull(ActionPermissions.permission(action, status), action + " at " + status);
            }
        }
    }

    @Test
    void decisionsRequireAQuorumAndTheAdoptionOfRestrictionsDoesNot() {
        for (QuorumStatus status : List.of(
                QuorumStatus.MINORITY, QuorumStatus.ISOLATED, QuorumStatus.CONFLICTING, QuorumStatus.RECOVERING)) {
            assertEquals(Permission.DENIED, ActionPermissions.permission(GuardedAction.DECIDE, status));
            assertEquals(Permission.DENIED, ActionPermissions.permission(GuardedAction.GRANT_QUOTA, status));
            assertEquals(Permission.ALLOWED, ActionPermissions.permission(GuardedAction.ADOPT_RESTRICTION, status));
        }
        assertEquals(
                Permission.DENIED, ActionPermissions.permission(GuardedAction.USE_ADOPTED, QuorumStatus.RECOVERING));
    }
}
