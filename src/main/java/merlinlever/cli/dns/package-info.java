/** The commands {@code zone ...}: DNS zones read, compared, served, updated and followed. */
package merlinlever.cli.dns;
