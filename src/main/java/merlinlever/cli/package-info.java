/** The command line: picks the subcommand and hands over. */
package merlinlever.cli;
