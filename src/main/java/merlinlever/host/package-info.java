/**
 * Host agent of one machine: supervises the configured instances, serves the {@code fleet} commands and takes part in
 * the membership protocol of the agents. {@code cli.fleet} starts the agent.
 */
package merlinlever.host;
