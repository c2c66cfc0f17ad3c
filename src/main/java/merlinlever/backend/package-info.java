/**
 * The core of the backend, without input or output. Owns the requests of one server from receipt to response, the
 * results retained for duplicates, and the controller that decides on the requests. The entry point is
 * {@link merlinlever.backend.Backend}, which receives events from the subpackages and calls the subpackages through
 * {@link merlinlever.backend.BackendDependencies}. Not thread-safe; all code runs on the event loop's thread.
 */
package merlinlever.backend;
