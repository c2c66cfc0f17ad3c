/**
 * Limits of the whole fleet, divided among its backends as leases. The elected leader
 * ({@link merlinlever.election.LeaderElection}) divides each quota ({@link merlinlever.quota.MaxMinFairAllocation}) and keeps
 * account of what is outstanding ({@link merlinlever.quota.LeaseLedger}); each backend spends what it holds
 * ({@link merlinlever.quota.QuotaLease}). Decisions only; {@code net} carries them out.
 */
package merlinlever.quota;
