/**
 * Recovery of a process after it died, alone or with the whole fleet: what it may rely on of the state that it left on disk
 * ({@link merlinlever.fleet.recovery.PersistedStateAssessor}), which peers it queries, and in which order it takes up service
 * ({@link merlinlever.fleet.recovery.RecoverySequence}). Decisions only; {@code disk} and {@code net} carry them out.
 */
package merlinlever.fleet.recovery;
