/**
 * HTTP/1.1 server for edge nodes. Parses request heads in place, serves one request at a time per connection, and
 * limits the number and the age of connections. {@link merlinlever.backend.http.EdgeServer} is the entry point; it owns
 * the connections and passes requests to {@link merlinlever.backend.Backend}. All code in this package runs on the
 * event loop's thread.
 */
package merlinlever.backend.http;
