/**
 * Limits of the whole fleet, divided among its backends as leases: who divides ({@link merlinlever.election.Terms}), what
 * each gets ({@link merlinlever.quota.Division}), what may be out at the most ({@link merlinlever.quota.Book}), and what
 * one may spend ({@link merlinlever.quota.Holding}). Decisions alone; {@code net} carries them out.
 */
package merlinlever.quota;
