/**
 * The management endpoint: an HTTP server on an address of its own that reports the state of an instance as JSON to the
 * host agent; absent unless configured. It owns no state of requests. Everything runs on the event loop's thread.
 */
package merlinlever.backend.management;
