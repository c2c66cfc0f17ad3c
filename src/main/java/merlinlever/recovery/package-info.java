/**
 * The return of a process after it died, alone or with all others: what it believes of what it left on disk
 * ({@link merlinlever.recovery.Trust}), whom it asks, and in which order it takes up service
 * ({@link merlinlever.recovery.Return}). Decisions alone; {@code disk} and {@code net} carry them out.
 */
package merlinlever.recovery;
