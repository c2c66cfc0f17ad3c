/** Runs recovery on the event loop, with membership datagrams, state on disk and recovery reports of peers. */
package merlinlever.fleet.recovery.net;
