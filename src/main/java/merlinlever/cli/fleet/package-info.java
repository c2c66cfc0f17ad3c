/**
 * The command groups {@code fleet} and {@code host}, which control instances and the host agents that supervise them.
 */
package merlinlever.cli.fleet;
