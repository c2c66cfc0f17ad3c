/** Checks of what the processes of a test do and report against what the test itself observes; without input or output. */
package merlinlever.testing.faults.audit;
