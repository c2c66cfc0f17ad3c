/** The commands {@code fleet} and {@code host}: instances, and the agents that keep them. Entry points are the two groups. */
package merlinlever.cli.fleet;
