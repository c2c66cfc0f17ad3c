/**
 * The membership view of the fleet: which backends belong to it ({@link merlinlever.fleet.view.MembershipView}), how much of it this backend
 * speaks with ({@link merlinlever.fleet.view.QuorumStatus}), and what it may do then ({@link merlinlever.fleet.view.ActionPermissions}). Without
 * input, output, threads or clocks; see docs/fleet/view.md.
 */
package merlinlever.fleet.view;
