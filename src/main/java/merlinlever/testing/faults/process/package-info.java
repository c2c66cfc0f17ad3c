/** Real processes of a test: started, killed, paused, resumed, told to leave, started again. */
package merlinlever.testing.faults.process;
