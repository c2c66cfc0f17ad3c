/**
 * Recovery on the event loop: membership over datagrams, the state on disk, and the exchange of recovery reports with peers.
 */
package merlinlever.fleet.recovery.net;
