/**
 * Limits of the whole fleet, divided among its backends as leases: who divides ({@link merlinlever.term.Terms}), what
 * each gets ({@link merlinlever.budgets.Division}), what may be out at the most ({@link merlinlever.budgets.Book}), and what
 * one may spend ({@link merlinlever.budgets.Holding}). Decisions alone; {@code net} carries them out.
 */
package merlinlever.budgets;
