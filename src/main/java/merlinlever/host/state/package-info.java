/**
 * Decision logic of the host agent and of rolling restarts: supervision of one instance, orders, outlier detection. The
 * classes perform no I/O and have no thread or clock; {@code host.run} and the {@code fleet} commands call them.
 */
package merlinlever.host.state;
