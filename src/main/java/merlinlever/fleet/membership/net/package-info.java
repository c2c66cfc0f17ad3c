/**
 * Carries the messages of membership, and those of the protocols that travel with them, in UDP datagrams. All methods run
 * on the event loop's thread.
 */
package merlinlever.fleet.membership.net;
