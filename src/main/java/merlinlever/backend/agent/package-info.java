/**
 * Client of the render farm agent, which runs the requests: one TCP connection at a time carries commands ({@link
 * merlinlever.backend.agent.AgentCommands}) to the agent and events ({@link merlinlever.backend.agent.AgentEvent}) back, one JSON
 * object a line each. Everything runs on the event loop's thread.
 */
package merlinlever.backend.agent;
