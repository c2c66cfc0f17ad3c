/**
 * The command line: selects the subcommand, and assembles and runs {@code serve}, the real backend. The commands that
 * need libraries are in subpackages, which {@code serve} and {@code wirehost} never load.
 */
package merlinlever.cli;
