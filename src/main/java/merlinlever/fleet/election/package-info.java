/**
 * Leader election: terms, promises and leases among the configured voters ({@link merlinlever.fleet.election.LeaderElection}). Without input,
 * output, threads or clocks; {@code net} runs it on the event loop.
 */
package merlinlever.fleet.election;
