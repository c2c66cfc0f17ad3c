/**
 * Client of the render farm agent, which runs the requests. A TCP connection carries commands
 * ({@link merlinlever.backend.agent.AgentCommands}) to the agent, and events
 * ({@link merlinlever.backend.agent.AgentEvent}) from the agent, as one JSON object per line. All code in this package
 * runs on the event loop's thread.
 */
package merlinlever.backend.agent;
