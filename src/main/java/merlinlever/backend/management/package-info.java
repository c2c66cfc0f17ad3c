/**
 * The optional management endpoint: an HTTP server on a separate address that reports the state of an instance as JSON
 * to the host agent. The package owns no request state. All code runs on the event loop's thread.
 */
package merlinlever.backend.management;
