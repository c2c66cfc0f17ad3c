/** The commands about zones. */
package merlinlever.cli.zone;
