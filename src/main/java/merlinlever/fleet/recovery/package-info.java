/**
 * Recovery of a process after a crash of the process or of the whole fleet. The package decides which persisted state
 * can be trusted ({@link merlinlever.fleet.recovery.PersistedStateAssessor}), which peers to query, and in which order
 * service resumes ({@link merlinlever.fleet.recovery.RecoverySequence}). The packages {@code disk} and {@code net} do
 * the input and output.
 */
package merlinlever.fleet.recovery;
