/** The command {@code faults ...}: the fault harness, for tests and trials on one machine. */
package merlinlever.cli.faults;
