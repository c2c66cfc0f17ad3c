/** The front of the host agent: HTTP/1.1 with JSON for the {@code fleet} commands, decided by the decision module. */
package merlinlever.host.api;
