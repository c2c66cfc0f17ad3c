/**
 * Lease-based leader election among the configured voters ({@link merlinlever.fleet.election.LeaderElection}). The
 * classes do no I/O and use no threads or clocks; {@code net} runs the election on the event loop.
 */
package merlinlever.fleet.election;
