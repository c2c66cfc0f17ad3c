/**
 * The HTTP API of the host agent, for the {@code fleet} commands and for other agents. Requests pass through the overload
 * controller before they are handled. Everything runs on the thread of the event loop.
 */
package merlinlever.host.api;
