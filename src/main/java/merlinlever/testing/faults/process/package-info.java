/** Real processes of a test and the ports that they listen at. */
package merlinlever.testing.faults.process;
