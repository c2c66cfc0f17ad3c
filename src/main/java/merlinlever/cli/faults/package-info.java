/** The fault harness on the command line. */
package merlinlever.cli.faults;
