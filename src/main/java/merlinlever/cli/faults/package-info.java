/** The commands {@code faults ...}: fault injection and crash-state enumeration, for tests on one machine. */
package merlinlever.cli.faults;
