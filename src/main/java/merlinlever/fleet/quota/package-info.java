/**
 * Fleet-wide limits that are divided among the backends as leases. The elected leader
 * ({@link merlinlever.fleet.election.LeaderElection}) divides each quota
 * ({@link merlinlever.fleet.quota.MaxMinFairAllocation}) and records the outstanding leases
 * ({@link merlinlever.fleet.quota.LeaseLedger}); each backend uses its own lease
 * ({@link merlinlever.fleet.quota.QuotaLease}). The classes do no I/O; {@code net} exchanges the messages.
 */
package merlinlever.fleet.quota;
