/**
 * The backend without input or output: drives one {@link merlinlever.policy.OverloadController}, follows each request
 * from its receipt to its response and keeps results for duplicates. {@link merlinlever.backend.Backend} is its entry
 * point for the sockets; the adapter of the simulation uses {@link merlinlever.driver.ControllerDriver} alone. Nothing
 * here is thread-safe: all of it runs on one loop.
 */
package merlinlever.backend;
