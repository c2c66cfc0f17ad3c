/**
 * HTTP API of the host agent for the {@code fleet} commands and for other agents. The overload controller admits or
 * rejects each request. All code runs on the thread of the event loop.
 */
package merlinlever.host.api;
