/**
 * State that a fleet of backends agrees on. Each package below holds one concern and uses only those before it:
 * membership, recovery, election, view, then quota and replication, then routes and experiments. Decisions are in the
 * package itself and do no input or output; sockets are in its subpackage {@code net}, files in {@code disk}. All of it
 * runs on the event loop's thread of its process.
 */
package merlinlever.fleet;
