/**
 * The membership view of the fleet: its members ({@link merlinlever.fleet.view.MembershipView}), the part of the fleet
 * that this backend communicates with ({@link merlinlever.fleet.view.QuorumStatus}), and the actions that this part
 * permits ({@link merlinlever.fleet.view.ActionPermissions}). The classes of this package do no input or output and use
 * neither threads nor clocks; see docs/fleet/view.md.
 */
package merlinlever.fleet.view;
