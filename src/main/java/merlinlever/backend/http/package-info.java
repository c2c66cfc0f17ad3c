/**
 * The HTTP/1.1 server for edge nodes: parses request heads in place, serves one request at a time on each connection, and
 * limits the number and age of connections. {@link merlinlever.backend.http.EdgeServer} is the entry point and owns the
 * connections; it passes requests to {@link merlinlever.backend.Backend}. Everything runs on the event loop's thread.
 */
package merlinlever.backend.http;
