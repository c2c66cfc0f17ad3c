/** Audits of the processes of a test against the observations of the test; no I/O. */
package merlinlever.testing.faults.audit;
