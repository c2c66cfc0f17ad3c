/** Operating-system processes of a test and the allocation of their ports. */
package merlinlever.testing.faults.process;
