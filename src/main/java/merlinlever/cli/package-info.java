/**
 * The command line: picks the subcommand, and assembles and runs {@code serve}, the real backend. The commands that need libraries
 * are in the packages below and are never loaded by {@code serve} and {@code wirehost}.
 */
package merlinlever.cli;
