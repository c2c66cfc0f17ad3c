/**
 * The agent of one machine: supervises the instances it is configured with, answers the {@code fleet} commands and
 * exchanges membership with the agents of other machines. {@code cli.fleet} starts it.
 */
package merlinlever.host;
