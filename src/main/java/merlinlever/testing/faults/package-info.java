/**
 * The fault harness across processes: real processes of the program on loopback, the links between them, disks that lose
 * what was not forced, scripts of faults and an audit from outside. For tests and trials; nothing of the program uses it.
 */
package merlinlever.testing.faults;
