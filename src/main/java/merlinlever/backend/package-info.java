/**
 * The backend without input or output. It owns the requests of one server from receipt to response, their results for
 * duplicates, and the controller that decides on them. {@link merlinlever.backend.Backend} is the entry point; the
 * packages below call it with events from their sockets, and it calls them back through
 * {@link merlinlever.backend.BackendDependencies}. Not thread-safe: everything runs on the event loop's thread.
 */
package merlinlever.backend;
