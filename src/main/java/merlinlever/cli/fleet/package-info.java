/** The commands about instances and the agents that keep them. */
package merlinlever.cli.fleet;
