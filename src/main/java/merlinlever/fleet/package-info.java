/**
 * State that the backends of a fleet agree on. The subpackages depend on each other only in this order: membership,
 * recovery, election, view, then quota and replication, then routes and experiments. Each subpackage contains the
 * decisions and does no input or output; its {@code net} package contains the sockets and its {@code disk} package the
 * files. All code runs on the event loop thread of the process.
 */
package merlinlever.fleet;
