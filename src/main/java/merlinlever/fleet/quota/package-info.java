/**
 * Limits of the whole fleet, divided among its backends as leases. The elected leader
 * ({@link merlinlever.fleet.election.LeaderElection}) divides each quota ({@link merlinlever.fleet.quota.MaxMinFairAllocation}) and keeps
 * account of what is outstanding ({@link merlinlever.fleet.quota.LeaseLedger}); each backend spends what it holds
 * ({@link merlinlever.fleet.quota.QuotaLease}). Decisions only; {@code net} carries them out.
 */
package merlinlever.fleet.quota;
