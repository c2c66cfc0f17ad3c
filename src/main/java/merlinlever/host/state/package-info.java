/**
 * The decisions of the host agent and of rolling restarts: supervision of one instance, orders, outliers. No input, output,
 * thread or clock; {@code host.run} and the {@code fleet} commands drive them.
 */
package merlinlever.host.state;
