/**
 * UDP transport of membership and of the protocols that use its datagrams. All methods run on the event loop thread.
 */
package merlinlever.fleet.membership.net;
