/**
 * The HTTP/1.1 server for edge nodes: request heads parsed in place, one request at a time on each connection, and the
 * eviction and time limits of connections. Everything runs on the event loop's thread.
 */
package merlinlever.backend.http;
